package kqconnection_test

import (
	"io"
	"testing"
	"time"
)

// A node without room for a large body refused it while it came: the answer was written
// and the connection closed. On a busy machine, or over a slow link, the caller still had
// seconds of its body to send; its writes met a reset, and in place of "not run" it saw a
// broken pipe. The caller here sends for two seconds after the close and then reads.
func TestCallerThatStillSendsReadsItsRefusal(t *testing.T) {
	server, caller, done := open(t)
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
			t.Fatalf("write: %v, want that the body is taken", err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if got, err := io.ReadAll(caller); string(got) != refusal || err != nil {
		t.Errorf("read %q, %v, want the refusal", got, err)
	}
}

// A caller sends on without end after it was refused. It must not keep the connection,
// and the node's work of reading it, for good.
func TestCallerThatSendsWithoutEndIsCut(t *testing.T) {
	server, caller, done := open(t)
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
	t.Errorf("%d MB were taken after the close, want an end before", most>>20)
}
