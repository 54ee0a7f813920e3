package kqconnection_test

import (
	"io"
	"testing"
	"time"
)

// Guards against closing a connection whose call has arrived but has not been read. A
// stopping node has accepted the connection and not read from it yet, as on a busy server
// or after a pause. If it checks only what it has read when it closes the connections
// without input, the call meets a reset and gets no response.
func TestConnectionWithUnreadBytesIsNotClosed(t *testing.T) {
	l := listen(t)
	defer func() { _ = l.Close() }()
	server, caller, done := connect(t, l)
	defer done()
	const call = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	if _, err := io.WriteString(caller, call); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	l.CloseUnused()
	b := make([]byte, 4096)
	if n, err := server.Read(b); string(b[:n]) != call || err != nil {
		t.Errorf("read %q, %v, want the call", b[:n], err)
	}
}
