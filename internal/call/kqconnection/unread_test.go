package kqconnection_test

import (
	"io"
	"testing"
	"time"
)

// A caller's call ended without an answer at a node that was being stopped. It had
// connected and sent its call; the node had accepted the connection and had not come to
// read it yet, as on a busy server or after a pause. Then the node closed the connections
// on which nothing had come: it asked what it had read, not what lay there to be read, and
// the call met a reset. The call here lies unread when the silent connections are closed.
func TestCallThatLiesUnreadIsNotClosed(t *testing.T) {
	l := listen(t)
	defer func() { _ = l.Close() }()
	server, caller, done := accept(t, l)
	defer done()
	const call = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	if _, err := io.WriteString(caller, call); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	l.CloseSilent()
	b := make([]byte, 4096)
	if n, err := server.Read(b); string(b[:n]) != call || err != nil {
		t.Errorf("read %q, %v, want the call", b[:n], err)
	}
}
