package kqgate_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
)

// Guards against an upstream that counts as well although its streamed responses are malformed or
// cut off: entries would go on sending it their calls. One that recovers must not be held to it, and one
// whose caller goes away must not count as failing.
func TestMalformedStreamsCountAsFailures(t *testing.T) {
	for name, c := range map[string]struct {
		response            string
		callerLeaves, fails bool
	}{
		"malformed chunk":     {"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\nzz\r\n", false, true},
		"trailer without end": {"Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("X-Line: value\r\n", 2000), false, true},
		"whole":               {"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", false, false},
		"the caller leaves":   {"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewUnstartedServer(nil)
			server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, buffer, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = conn.Close() }()
				writeAndWait(conn, buffer, "HTTP/1.1 200 OK\r\n"+c.response)
			})
			server.Start()
			defer server.Close()
			g := kqgate.New(announceServer(t, server))
			rate := 0.0
			for range 30 {
				call := newCall("/")
				_, load := g.Do(call)
				rate = load.FailureRate
				if !call.Response.IsBodyStream() {
					t.Fatal("the response is not streamed")
				}
				if c.callerLeaves {
					call.Cancel.Trigger("cancelled")
				}
				_, _ = io.Copy(io.Discard, call.Response.BodyStream())
				_ = call.Response.CloseBodyStream()
			}
			if c.fails != (rate > 0.5) {
				t.Errorf("the failure rate is %v after 30 calls", rate)
			}
		})
	}
}

// writeAndWait writes a response and waits until its reader closes the connection, for a second at most.
func writeAndWait(conn net.Conn, buffer *bufio.ReadWriter, response string) {
	_, _ = io.WriteString(conn, response)
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = buffer.ReadByte()
}
