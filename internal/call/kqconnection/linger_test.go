package kqconnection_test

import (
	"io"
	"testing"
	"time"
)

// Guards against lost refusals: a node without memory for a large body responds and closes
// the connection while the caller still has seconds of its body to send, as on a busy
// server or over a slow link. If the writes meet a reset, the caller sees a broken pipe
// instead of not_run. Here the caller sends for two seconds after the close and then reads.
func TestRefusalArrivesWhileCallerStillSends(t *testing.T) {
	server, caller, done := openConnection(t)
	defer done()
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	if _, err := io.WriteString(server, refusal); err != nil {
		t.Fatal(err)
	}
	if err := server.Close(); err != nil {
		t.Fatal(err)
	}
	piece := make([]byte, 256<<10)
	for range 40 {
		if _, err := caller.Write(piece); err != nil {
			t.Fatalf("write: %v, want the body to be read", err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if got, err := io.ReadAll(caller); string(got) != refusal || err != nil {
		t.Errorf("read %q, %v, want the refusal", got, err)
	}
}

// A caller that keeps sending after it was refused must not hold its connection, and the
// node's work of reading it, for ever.
func TestLingeringIsBounded(t *testing.T) {
	server, caller, done := openConnection(t)
	defer done()
	if err := server.Close(); err != nil {
		t.Fatal(err)
	}
	const most = 96 << 20
	piece := make([]byte, 1<<20)
	for sent := 0; sent < most; sent += len(piece) {
		if _, err := caller.Write(piece); err != nil {
			return
		}
	}
	t.Errorf("%d MB were read after the close, want the connection closed before", most>>20)
}
