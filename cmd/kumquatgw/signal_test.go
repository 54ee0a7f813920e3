package main_test

import (
	"bufio"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Orders and status calls ended without an answer at a node that was being stopped,
// while their upstreams were at work on them. The node had been told to stop 1.4 s
// before, which it does by finishing what it has; then its settings changed, and it was
// told of that as well. It had stopped listening for the reload signal when it was told
// to stop, and by default that signal ends a process: the connections ended in the very
// millisecond of the signal, at a leaving node only, and the process was back sooner
// than a leave takes. With the default in force the node ends with "signal: hangup" here.
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

// The same with calls at work: each is answered, and the node ends by itself after them.
func TestCallsOutliveAReloadSignalWhileTheNodeLeaves(t *testing.T) {
	m := newMesh(t, time.Second)
	answers := m.calls(t, 8)
	time.Sleep(200 * time.Millisecond)
	m.front.signal(t, syscall.SIGTERM)
	m.front.after(t, "Leaving.")
	for range 3 {
		m.front.signal(t, syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
	}
	m.front.change(t, "[log]\nsample = 1\n")
	m.front.signal(t, syscall.SIGHUP)
	answered(t, answers())
	if <-m.front.ended; m.front.err != nil {
		t.Errorf("the node ended with %v, want a whole leave", m.front.err)
	}
}
