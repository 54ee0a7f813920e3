package kqconnection_test

import (
	"fmt"
	"io"
	"net"
	"testing"

	"pgregory.net/rapid"

	"github.com/kumquatgw/kumquatgw/internal/call/kqconnection"
)

// Guards against counting a chunked body's framing: callers that send small chunks would be
// refused for several times the memory that their bodies take.
func TestReservedMemoryCountsChunkDataOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := &recordingLimiter{}
		server, caller, done := openConnection(t, kqconnection.WithBodyLimiter(limiter, 0))
		defer done()
		chunks := rapid.SliceOfN(rapid.IntRange(1, 300), 1, 40).Draw(t, "chunks")
		extension := rapid.SampledFrom([]string{"", ";a=b", " "}).Draw(t, "extension")
		want := 0
		go func() {
			_, _ = io.WriteString(caller, "PUT / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n")
			for _, n := range chunks {
				_, _ = fmt.Fprintf(caller, "%X%s\r\n%s\r\n", n, extension, make([]byte, n))
			}
			_, _ = io.WriteString(caller, "0\r\nx: y\r\n\r\n")
			_ = caller.(*net.TCPConn).CloseWrite()
		}()
		for _, n := range chunks {
			want += n
		}
		b := make([]byte, rapid.IntRange(1, 64).Draw(t, "buffer"))
		readAll(server, b)
		if limiter.size != want {
			t.Fatalf("reserved memory for %d bytes, want %d", limiter.size, want)
		}
	})
}
