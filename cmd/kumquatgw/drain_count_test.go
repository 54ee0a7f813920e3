package main_test

import (
	"io"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a drain that miscounts its last caller. Once the listener is closed, the
// HTTP library's count of connections is one too low: the log showed callers=0 with
// calls=1, later callers=-1, and the node did not wait until the call was answered.
// The counts are checked in each line of the step that cancels calls, if there is one.
func TestDrainCountsItsLastCaller(t *testing.T) {
	f := newFleet(t, "", "")
	p := startNode(t, extendSettings(t, writeSettings(t, "last", f.platform, f.control, ""), "drain_timeout = 1s\n"))
	entry := p.readAfter(t, "entry ")
	// These calls keep no connection open, so that only the call below is counted.
	for range 400 {
		if strings.HasPrefix(callPath(t, entry, "/"), "200 ") {
			break
		}
		time.Sleep(25 * time.Millisecond)
	}
	answer := make(chan string, 1)
	go func() { answer <- callPath(t, entry, "/?ms=3000") }()
	time.Sleep(300 * time.Millisecond)
	p.signal(t, syscall.SIGTERM)
	log, err := io.ReadAll(p.lines)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, "callers=-1") {
			t.Errorf("negative number of callers: %s", line)
		}
		if strings.Contains(line, "step=cancelled") && !strings.Contains(line, "callers=1 calls=1") {
			t.Errorf("want callers=1 calls=1 for the cancelled call: %s", line)
		}
	}
	if a := <-answer; !strings.HasPrefix(a, "504 ") {
		t.Errorf("the caller got %q, want 504", a)
	}
}
