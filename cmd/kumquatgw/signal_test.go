package main_test

import (
	"bufio"
	"net"
	"strings"
	"syscall"
	"testing"
)

// A node is told to stop, and while it waits for its callers to go, its settings file
// changes and it is told of that as well. Were the second signal to end the process,
// every call in flight would be cut, and its caller could not tell whether it ran.
func TestReloadSignalDoesNotEndALeavingNode(t *testing.T) {
	platform := after(t, start(t, "platform", "--listen", "127.0.0.1:0"), "listens on ")
	c := command(t, "node", "--settings", settings(t, "front", platform, "", ""))
	pipe, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	out := bufio.NewReader(pipe)
	// An open connection keeps the node waiting for its caller.
	caller, err := net.Dial("tcp", after(t, out, "entry "))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for line := ""; !strings.Contains(line, "Leaving."); {
		if line, err = out.ReadString('\n'); err != nil {
			t.Fatalf("the node ended before it left: %v", err)
		}
	}
	if err := c.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	for err == nil {
		_, err = out.ReadString('\n')
	}
	if err := c.Wait(); err != nil {
		t.Errorf("the node ended with %v, want a whole leave", err)
	}
}
