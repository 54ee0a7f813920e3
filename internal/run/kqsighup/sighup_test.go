package kqsighup_test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"

	_ "github.com/kumquatgw/kumquatgw/internal/run/kqsighup"
)

const childVariable = "KQEARLY_CHILD"

// TestMain lets the test binary run as a child process that has only reached its main
// function.
func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		fmt.Println("up")
		time.Sleep(200 * time.Millisecond)
		return
	}
	os.Exit(m.Run())
}

// A starting node gets the reload signal before it listens for it. By default the process
// would end, which looks like a crash, and its server would be ready later. Other commands
// must still end with their terminal, as users expect.
func TestReloadSignalDuringStart(t *testing.T) {
	// If this process ignores the signal, as under nohup, its children would inherit that.
	// A signal that is caught here has its default action in them.
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, syscall.SIGHUP)
	defer signal.Stop(caught)
	for command, want := range map[string]string{"node": "", "demo": "signal: hangup"} {
		c := exec.CommandContext(t.Context(), os.Args[0], command)
		c.Env = append(os.Environ(), childVariable+"=1")
		out, err := c.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		if _, err := bufio.NewReader(out).ReadString('\n'); err != nil {
			t.Fatal(err)
		}
		if err := c.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		got := ""
		if err := c.Wait(); err != nil {
			got = err.Error()
		}
		if got != want {
			t.Errorf("%s ended with %q, want %q", command, got, want)
		}
	}
}
