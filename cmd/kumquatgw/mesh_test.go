package main_test

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// mesh is two node processes and a process of an upstream that is local to the back node;
// a fleet's upstream runs in the test's own process instead. Callers use the front node.
type mesh struct {
	front, back *process
	// local is the back node's local address, control the front node's control address.
	local, control string
	// entry is the front node's entry address.
	entry string
}

// newMesh starts a mesh and waits until it serves. work is a call's processing time.
func newMesh(t *testing.T, work time.Duration) *mesh {
	t.Helper()
	return newMeshWith(t, work, "")
}

// newMeshWith is newMesh with further settings for both nodes. They are inserted after the
// value of url in the [platform] section, so they begin with a newline.
func newMeshWith(t *testing.T, work time.Duration, further string) *mesh {
	t.Helper()
	platform := readAfter(t, startCommand(t, "platform", "--listen", "127.0.0.1:0"), "listens on ")
	m := &mesh{front: startNode(t, writeSettings(t, "front", platform+further, "", ""))}
	m.entry = m.front.readAfter(t, "entry ")
	m.control = m.front.readAfter(t, "control ")
	m.back = startNode(t, writeSettings(t, "back", platform+further, m.control, "store"))
	m.local = m.back.readAfter(t, "local ")
	startCommand(t, "upstream", "--service", "store", "--node", m.local, "--work", work.String(), "--slots", "64")
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
	t.Fatalf("last response %q, want the upstream's", last)
	return nil
}

// startCalls sends calls concurrently, and returns a function that waits for all of their
// responses.
func (m *mesh) startCalls(t *testing.T, count int) func() []string {
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

// assertAnswered fails the test for each response that is not the upstream's.
func assertAnswered(t *testing.T, answers []string) {
	t.Helper()
	for i, a := range answers {
		if !strings.HasPrefix(a, "200 store v1") {
			t.Errorf("call %d of %d: response %q, want the upstream's", i, len(answers), a)
		}
	}
}

// assertRunning fails the test if the process has ended.
func (p *process) assertRunning(t *testing.T) {
	t.Helper()
	select {
	case <-p.ended:
		t.Fatalf("the process ended with %v", p.err)
	default:
	}
}

// appendSettings adds text to the process's settings file, without a reload signal.
func (p *process) appendSettings(t *testing.T, text string) {
	t.Helper()
	old, err := os.ReadFile(p.file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(p.file, append(old, text...), 0o600); err != nil {
		t.Fatal(err)
	}
}
