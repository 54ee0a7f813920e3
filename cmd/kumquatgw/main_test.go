package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kumquatgw/kumquatgw/internal/run/kqcommand"
)

const (
	runVariable = "KUMQUATGW_RUN"
	document    = `{"teams":[{"name":"shop"}],"services":[{"name":"store","team":"shop"}],
		"routes":[{"name":"store","team":"shop","host":"store","path_prefix":"/","service":"store"}]}`
)

// TestMain lets the test's own program serve as kumquatgw, so that each role
// runs as a process of its own without a build beside the test's.
func TestMain(m *testing.M) {
	run := func() {
		limitFiles()
		command := kqcommand.New(os.Stdout, os.Stderr,
			kqcommand.WithAdapter(fragileCalls, joinFragileCalls), kqcommand.WithAdapter(fragileParts, joinFragileParts))
		os.Exit(command.Run(os.Args[1:]))
	}
	if os.Getenv(runVariable) != "" {
		run()
	}
	testscript.Main(m, map[string]func(){"kumquatgw": run})
}

// A caller asks one node for a service whose upstream stands beside another.
// Every role is a process of its own; the user gets the upstream's answer.
func TestWholePathAcrossProcesses(t *testing.T) {
	platform := after(t, start(t, "platform", "--listen", "127.0.0.1:0"), "listens on ")
	entry := start(t, "node", "--settings", settings(t, "front", platform, "", ""))
	front := after(t, entry, "entry ")
	control := after(t, entry, "control ")
	local := after(t, start(t, "node", "--settings", settings(t, "back", platform, control, "store")), "local ")
	start(t, "upstream", "--service", "store", "--node", local)
	file := filepath.Join(t.TempDir(), "document.json")
	if err := os.WriteFile(file, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	commit := command(t, "document", "commit", file, "--platform", platform, "--base", "0", "--reason", "first")
	if out, err := commit.CombinedOutput(); err != nil {
		t.Fatalf("commit: %v\n%s", err, out)
	}
	var last string
	for range 200 {
		if last = call(t, front, "store"); strings.HasPrefix(last, "200 store v1") {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("last answer %q, want the upstream's", last)
}

func settings(t *testing.T, name, platform, seed, service string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name+".ini")
	text := fmt.Sprintf(`[node]
name = %s
domain = one
service = %s
entry_listen = 127.0.0.1:0
local_listen = 127.0.0.1:0
gate_listen = 127.0.0.1:0
control_listen = 127.0.0.1:0
[platform]
url = %s
[member]
seeds = %s
heartbeat = 50ms
`, name, service, platform, seed)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func command(t *testing.T, arguments ...string) *exec.Cmd {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	c := exec.CommandContext(t.Context(), self, arguments...)
	c.Env = append(os.Environ(), runVariable+"=1")
	return c
}

func start(t *testing.T, arguments ...string) *bufio.Reader {
	t.Helper()
	c := command(t, arguments...)
	c.Stderr = os.Stderr
	out, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Wait() })
	return bufio.NewReader(out)
}

// after reads lines until one holds the mark and returns what stands behind it.
func after(t *testing.T, r *bufio.Reader, mark string) string {
	t.Helper()
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatalf("read until %q: %v", mark, err)
		}
		if _, rest, ok := strings.Cut(line, mark); ok {
			return strings.TrimSpace(rest)
		}
	}
}

func call(t *testing.T, address, host string) string {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	q.Host = host
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s", a.StatusCode, body)
}
