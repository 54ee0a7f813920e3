package kqconnection_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqconnection"
)

// A caller's call ended without an answer at a node that was being stopped. It had
// connected and sent its call; the node had accepted the connection and had not come to
// read it yet, as on a busy server or after a pause. Then the node closed the connections
// on which nothing had come: it asked what it had read, not what lay there to be read, and
// the call met a reset. The call here lies unread when the silent connections are closed.
func TestCallThatLiesUnreadIsNotClosed(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := kqconnection.New(inner)
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
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
