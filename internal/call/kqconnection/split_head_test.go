package kqconnection_test

import (
	"io"
	"runtime"
	"strings"
	"testing"
)

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
