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
	// runVariable is the environment variable that makes the test binary run as kumquatgw.
	runVariable = "KUMQUATGW_RUN"
	// document is a configuration with one service, store, and a route to it.
	document = `{"teams":[{"name":"shop"}],"services":[{"name":"store","team":"shop"}],
		"routes":[{"name":"store","team":"shop","host":"store","path_prefix":"/","service":"store"}]}`
)

// TestMain lets the test binary run as kumquatgw, so that each role runs in a process of
// its own without a separate build.
func TestMain(m *testing.M) {
	run := func() {
		limitDescriptors()
		command := kqcommand.New(os.Stdout, os.Stderr,
			kqcommand.WithAdapter(callPanicAdapter, connectCallPanicAdapter), kqcommand.WithAdapter(storePanicAdapter, connectStorePanicAdapter))
		os.Exit(command.Run(os.Args[1:]))
	}
	if os.Getenv(runVariable) != "" {
		run()
	}
	testscript.Main(m, map[string]func(){"kumquatgw": run})
}

// Checks a call that enters at one node and is served by an upstream of another node,
// with every role in a process of its own.
func TestWholePathAcrossProcesses(t *testing.T) {
	platform := readAfter(t, startCommand(t, "platform", "--listen", "127.0.0.1:0"), "listens on ")
	entry := startCommand(t, "node", "--settings", writeSettings(t, "front", platform, "", ""))
	front := readAfter(t, entry, "entry ")
	control := readAfter(t, entry, "control ")
	local := readAfter(t, startCommand(t, "node", "--settings", writeSettings(t, "back", platform, control, "store")), "local ")
	startCommand(t, "upstream", "--service", "store", "--node", local)
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
	t.Fatalf("last response %q, want the upstream's", last)
}

// writeSettings writes a settings file for a node and returns its path. seed is the control
// address of another node, service that of the node's upstream; either may be empty.
func writeSettings(t *testing.T, name, platform, seed, service string) string {
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

// command returns a command that runs the test binary as kumquatgw.
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

// startCommand starts a kumquatgw command, which is killed when the test ends, and returns
// its standard output.
func startCommand(t *testing.T, arguments ...string) *bufio.Reader {
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

// readAfter reads lines until one contains the mark, and returns the rest of that line.
func readAfter(t *testing.T, r *bufio.Reader, mark string) string {
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

// call sends a GET for the host to the address and returns the status and body, or the
// error.
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
