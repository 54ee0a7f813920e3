package kqsend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

// Guards against a response that ends early, in its head or its body, and is taken for a whole one.
func TestCutResponseIsNotComplete(t *testing.T) {
	const length = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Stamp: a1b2\r\n\r\ntwelve bytes"
	for name, response := range map[string]string{
		"length":           length,
		"length last":      "HTTP/1.1 200 OK\r\nX-Stamp: a1b2\r\nContent-Length: 12\r\n\r\ntwelve bytes",
		"chunks":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\ntwelve bytes\r\n0\r\nX-Sum: 1\r\n\r\n",
		"empty body":       "HTTP/1.1 200 OK\r\nX-Stamp: a1b2\r\nContent-Length: 0\r\n\r\n",
		"after an interim": "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + length,
		"no body":          "HTTP/1.1 204 No Content\r\nX-Stamp: a1b2\r\n\r\n",
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/kept_%t", name, kept), func(t *testing.T) { testCuts(t, response, kept) })
		}
	}
}

// As above, for a body that ends with its connection: only its head can be cut.
func TestCutHeadOfBodyUntilCloseIsNotComplete(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-Stamp: a1b2\r\nConnection: close\r\n\r\n",
		"HTTP/1.0 200 OK\r\nX-Stamp: a1b2\r\n\r\n",
	} {
		testCuts(t, head, false)
		testCuts(t, head, true)
	}
}

// testCuts sends each beginning of the response and closes, on a new connection or on one that
// has carried a call before, and expects that the call does not end as answered with a whole
// body unless the response was sent whole.
func testCuts(t *testing.T, response string, kept bool) {
	t.Helper()
	cut := 0
	p := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if kept {
			if _, err := readRequestPath(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		if _, err := readRequestPath(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, response[:cut])
		_ = c.Close()
	})
	for cut = range len(response) + 1 {
		client := p.client()
		if kept {
			if o := client.Do(call("/first", callTimeout)); o.Result != kqcall.Answered {
				t.Fatalf("first call on the connection: %+v", o)
			}
		}
		call := call("/", callTimeout)
		o := client.Do(call)
		whole := o.Result == kqcall.Answered
		if whole && call.Response.IsBodyStream() {
			_, err := io.Copy(io.Discard, call.Response.BodyStream())
			whole = err == nil
			_ = call.Response.CloseBodyStream()
		}
		if want := cut == len(response); whole != want {
			t.Errorf("%d of %d bytes, up to %q: complete is %t, want %t: %+v, status %d, body %q",
				cut, len(response), response[max(0, cut-12):cut], whole, want, o, call.Response.StatusCode(), call.Response.Body())
		}
	}
}
