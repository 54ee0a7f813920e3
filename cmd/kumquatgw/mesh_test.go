package main_test

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// mesh is a small fleet of processes: callers use the front node, and the
// service's upstream stands beside the back node.
type mesh struct {
	front, back *process
	// local and control are the back node's and the front node's addresses.
	local, control string
	entry          string
}

// newMesh returns a fleet that serves: a call takes as long as work says.
func newMesh(t *testing.T, work time.Duration) *mesh {
	t.Helper()
	return newMeshWith(t, work, "")
}

// newMeshWith returns a fleet whose nodes have further settings of their platform.
func newMeshWith(t *testing.T, work time.Duration, further string) *mesh {
	t.Helper()
	platform := after(t, start(t, "platform", "--listen", "127.0.0.1:0"), "listens on ")
	m := &mesh{front: node(t, settings(t, "front", platform+further, "", ""))}
	m.entry = m.front.after(t, "entry ")
	m.control = m.front.after(t, "control ")
	m.back = node(t, settings(t, "back", platform+further, m.control, "store"))
	m.local = m.back.after(t, "local ")
	start(t, "upstream", "--service", "store", "--node", m.local, "--work", work.String(), "--slots", "64")
	file := filepath.Join(t.TempDir(), "document.json")
	if err := os.WriteFile(file, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	commit := command(t, "document", "commit", file, "--platform", platform, "--base", "0", "--reason", "first")
	if out, err := commit.CombinedOutput(); err != nil {
		t.Fatalf("commit: %v\n%s", err, out)
	}
	last := ""
	for range 200 {
		if last = call(t, m.entry, "store"); strings.HasPrefix(last, "200 store v1") {
			return m
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("last answer %q, want the upstream's", last)
	return nil
}

// calls has some callers ask at once, and returns their answers once all have one.
func (m *mesh) calls(t *testing.T, count int) func() []string {
	t.Helper()
	answers := make([]string, count)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() { answers[i] = call(t, m.entry, "store") })
	}
	return func() []string {
		group.Wait()
		return answers
	}
}

// answered fails the test for each answer that is not the upstream's.
func answered(t *testing.T, answers []string) {
	t.Helper()
	for i, a := range answers {
		if !strings.HasPrefix(a, "200 store v1") {
			t.Errorf("call %d of %d: %q, want the upstream's answer", i, len(answers), a)
		}
	}
}

// alive fails the test if the process has ended.
func (p *process) alive(t *testing.T) {
	t.Helper()
	select {
	case <-p.ended:
		t.Fatalf("the process ended with %v", p.err)
	default:
	}
}

// change gives the process other settings, without a signal.
func (p *process) change(t *testing.T, text string) {
	t.Helper()
	old, err := os.ReadFile(p.file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(p.file, append(old, text...), 0o600); err != nil {
		t.Fatal(err)
	}
}
