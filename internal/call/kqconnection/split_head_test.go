package kqconnection_test

import (
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/kumquatgw/kumquatgw/internal/call/kqconnection"
)

// Guards against bodies of unknown length that reserve no memory because their head arrived
// in several parts.
func TestMemoryIsReservedIfTheHeadIsSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := &recordingLimiter{}
		server, caller, done := openConnection(t, kqconnection.WithBodyLimiter(limiter, 0))
		defer done()
		go func() {
			_, _ = io.WriteString(caller, "PUT / HTTP/1.1\r\ntransfer-encoding: chunked\r\nhost: a\r\n\r\n5\r\nabcde\r\n0\r\n\r\n")
			_ = caller.(*net.TCPConn).CloseWrite()
		}()
		b := make([]byte, rapid.IntRange(1, 100).Draw(t, "buffer"))
		readAll(server, b)
		if limiter.size < 5 {
			t.Fatalf("reserved memory for %d bytes of a body of 5", limiter.size)
		}
	})
}

// Guards against holding the bytes of incomplete heads twice in memory.
func TestPartialHeadUsesLittleMemory(t *testing.T) {
	server, caller, done := openConnection(t)
	defer done()
	head := "PUT / HTTP/1.1\r\nx: " + strings.Repeat("x", 1<<20) + "\r\ncontent-length: 3\r\n\r\nabc"
	// The second request shows that reads stop at the end of the first.
	go func() { _, _ = io.WriteString(caller, head+"GET / HTTP/1.1\r\n\r\n") }()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b := make([]byte, 100)
	for read := 0; read < len(head); {
		n, err := server.Read(b)
		if err != nil {
			t.Fatal(err)
		}
		read += n
		if read > len(head) {
			t.Fatalf("read %d bytes of a request of %d", read, len(head))
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 256<<10 {
		t.Errorf("holding %d KB for a head of 1 MB", grown>>10)
	}
}
