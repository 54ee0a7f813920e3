package main_test

import (
	"bufio"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a reload signal that ends a draining node. If the node stops handling
// SIGHUP when its drain begins, the signal's default action ends the process: a reload
// 1.4 s into the drain cut the connections of all in-flight calls. With that fault the
// node exits here with "signal: hangup".
func TestReloadSignalDoesNotEndADrainingNode(t *testing.T) {
	platform := readAfter(t, startCommand(t, "platform", "--listen", "127.0.0.1:0"), "listens on ")
	c := command(t, "node", "--settings", writeSettings(t, "front", platform, "", ""))
	pipe, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	out := bufio.NewReader(pipe)
	// For an open connection the drain waits up to a second, so that it is still in progress
	// when the reload signal comes.
	caller, err := net.Dial("tcp", readAfter(t, out, "entry "))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for line := ""; !strings.Contains(line, "Leaving."); {
		if line, err = out.ReadString('\n'); err != nil {
			t.Fatalf("the node ended before its drain began: %v", err)
		}
	}
	if err := c.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	for err == nil {
		_, err = out.ReadString('\n')
	}
	if err := c.Wait(); err != nil {
		t.Errorf("the node exited with %v, want a complete drain", err)
	}
}

// Checks that reload signals during a drain neither interrupt in-flight calls nor keep the
// node from ending by itself afterwards.
func TestCallsOutliveAReloadSignalWhileTheNodeLeaves(t *testing.T) {
	m := newMesh(t, time.Second)
	answers := m.startCalls(t, 8)
	time.Sleep(200 * time.Millisecond)
	m.front.signal(t, syscall.SIGTERM)
	m.front.readAfter(t, "Leaving.")
	for range 3 {
		m.front.signal(t, syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
	}
	// The last reload finds changed settings.
	m.front.appendSettings(t, "[log]\nsample = 1\n")
	m.front.signal(t, syscall.SIGHUP)
	assertAnswered(t, answers())
	if <-m.front.ended; m.front.err != nil {
		t.Errorf("the node exited with %v, want a complete drain", m.front.err)
	}
}
