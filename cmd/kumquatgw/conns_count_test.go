package main_test

import (
	"io"
	"strings"
	"syscall"
	"testing"
	"time"
)

// One call outlasts the leave of the node that its caller uses. The lines of the leave
// denied that caller (callers=0 beside calls=1, and callers=-1 once it had gone), and the
// node did not wait until the call had the answer that it was due: once its listener is
// closed, the library's count of connections is one too low.
func TestLeaveCountsItsLastCaller(t *testing.T) {
	f := newFleet(t, "", "")
	p := node(t, extended(t, settings(t, "last", f.platform, f.control, ""), "drain_timeout = 1s\n"))
	entry := p.after(t, "entry ")
	// Without a connection that is kept: the count is of the one call's.
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
			t.Errorf("fewer callers than none: %s", line)
		}
		if strings.Contains(line, "step=cancelled") && !strings.Contains(line, "callers=1 calls=1") {
			t.Errorf("one call is cancelled: %s", line)
		}
	}
	if a := <-answer; !strings.HasPrefix(a, "504 ") {
		t.Errorf("the caller was told %q, want that its call's end is unknown", a)
	}
}
