package kqearly_test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"

	_ "github.com/kumquatgw/kumquatgw/internal/run/kqearly"
)

const childVariable = "KQEARLY_CHILD"

// TestMain lets the test's own program be a process that has come no further than its
// main function.
func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		fmt.Println("up")
		time.Sleep(200 * time.Millisecond)
		return
	}
	os.Exit(m.Run())
}

// Settings are changed while a node starts, and it is told of that before it listens
// for the signal. By default the process would end; whoever runs it sees a process
// that ended by itself, and a server that is ready later. A command at a terminal ends
// with it, as users expect.
func TestReloadSignalBeforeTheStart(t *testing.T) {
	// Run where the signal is ignored, as under nohup, the processes would inherit that. One
	// that is taken here is back to its default in them.
	taken := make(chan os.Signal, 1)
	signal.Notify(taken, syscall.SIGHUP)
	defer signal.Stop(taken)
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
