package kqsend_test

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

const (
	// unboundedDeadline is the deadline of calls to peers whose responses do not end.
	unboundedDeadline = 400 * time.Millisecond
	// unboundedMemory is what such a call may allocate, the test's peer included. The peers
	// send hundreds of times as much.
	unboundedMemory = 1 << 20
)

// Guards against responses without end that take memory by the bytes received, keep the
// connection or a processor beyond the call's deadline, or look complete.
func TestUnboundedResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	block := strings.Repeat("x", 32<<10)
	for name, c := range map[string]struct {
		head, rest string
		pause      time.Duration
		// early is set if the exchange must end well before the deadline.
		early bool
	}{
		"head byte by byte":       {head: ok, rest: "X", pause: 10 * time.Millisecond},
		"header lines":            {head: ok, rest: strings.Repeat("X-Line: "+strings.Repeat("v", 100)+"\r\n", 100), early: true},
		"one header line":         {head: ok + "X-Line: ", rest: block, early: true},
		"interim responses":       {rest: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000), early: true},
		"chunks of a byte":        {head: ok + "Transfer-Encoding: chunked\r\n\r\n", rest: strings.Repeat("1\r\nx\r\n", 1000)},
		"chunk extension":         {head: ok + "Transfer-Encoding: chunked\r\n\r\n1;", rest: block, early: true},
		"trailer":                 {head: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", rest: strings.Repeat("X-Line: value\r\n", 1000), early: true},
		"body without length":     {head: ok + "\r\n", rest: block},
		"body of which none came": {head: ok + "Content-Length: 1000000000\r\n\r\n", rest: "x", pause: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			p := startServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				defer close(closed)
				if _, err := readRequestPath(r); err != nil {
					return
				}
				_, err := io.WriteString(conn, c.head)
				for rest := []byte(c.rest); err == nil; time.Sleep(c.pause) {
					_, err = conn.Write(rest)
				}
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			call := call("/one", unboundedDeadline)
			o := p.client().Do(call)
			if o.Result == kqcall.Answered {
				if !call.Response.IsBodyStream() {
					t.Fatal("the response counts as complete")
				}
				if _, err := io.Copy(io.Discard, call.Response.BodyStream()); err == nil {
					t.Error("the body ends as if it were complete")
				}
				_ = call.Response.CloseBodyStream()
			} else if o.Result != kqcall.Unknown {
				t.Errorf("outcome is %v, want unknown", o)
			}
			took := time.Since(began)
			runtime.ReadMemStats(&after)
			if most := 2 * unboundedDeadline; took > most || c.early && took > unboundedDeadline*3/4 {
				t.Errorf("the call took %v, its deadline is %v", took, unboundedDeadline)
			}
			if got := after.TotalAlloc - before.TotalAlloc; got > unboundedMemory {
				t.Errorf("%d bytes were allocated, want at most %d", got, unboundedMemory)
			}
			select {
			case <-closed:
			case <-time.After(callTimeout):
				t.Error("the connection was not closed")
			}
		})
	}
}

// Guards against bytes beyond a response, or on an idle connection, that are taken for the next
// call's response or keep memory while nobody calls.
func TestBytesAfterTheResponse(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "on an idle connection": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			p := startServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				path, err := readRequestPath(r)
				if err != nil {
					return
				}
				writeResponse(conn, path)
				time.Sleep(pause)
				for err == nil {
					_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen")
				}
			})
			client := p.client()
			for _, path := range []string{"/one", "/two", "/three"} {
				c := call(path, callTimeout)
				if o := client.Do(c); o != kqcall.OK() || string(c.Response.Body()) != path {
					t.Errorf("call %s: %v %q, want its own response", path, o, c.Response.Body())
				}
				time.Sleep(2 * pause)
			}
		})
	}
}
