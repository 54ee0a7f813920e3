package kqsend_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

// An upstream refuses a long request body before reading all of it, responds and closes the
// connection. Writing the rest fails, but the caller must get that response rather than an
// unknown outcome.
func TestEarlyResponseIsReturned(t *testing.T) {
	p := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nConnection: close\r\nContent-Length: 3\r\n\r\nbig")
		_ = c.Close()
	})
	for range 20 {
		call := call("/", callTimeout)
		call.Request.SetBody(bytes.Repeat([]byte{'b'}, 16<<20))
		if o := p.client().Do(call); o.Result != kqcall.Answered || string(call.Response.Body()) != "big" {
			t.Fatalf("got %+v, status %d, want the upstream's response", o, call.Response.StatusCode())
		}
	}
}

// As above, but the response has no length and ends with the connection, which the upstream
// resets. It may be truncated, so it must not be returned as complete.
func TestEarlyResponseWithoutLengthIsCut(t *testing.T) {
	p := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nConnection: close\r\n\r\na part of")
		_ = c.Close()
	})
	for range 20 {
		call := call("/", callTimeout)
		call.Request.SetBody(bytes.Repeat([]byte{'b'}, 16<<20))
		if o := p.client().Do(call); o != kqcall.UnknownOutcome(kqcall.Cut) {
			t.Fatalf("got %+v, want unknown: cut", o)
		}
	}
}

// An upstream states its idle timeout in a Keep-Alive header and then closes the
// connection. A call sent at that moment would be cut, and its caller could not tell
// whether it ran.
func TestKeepAliveHeaderIsHonoredAndRemoved(t *testing.T) {
	p := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			path, err := readRequestPath(r)
			if err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1, max=100\r\nContent-Length: %d\r\n\r\n%s", len(path), path)
		}
	})
	client := p.client()
	for _, pause := range []time.Duration{0, 1200 * time.Millisecond} {
		time.Sleep(pause)
		call := call("/", callTimeout)
		if o := client.Do(call); o.Result != kqcall.Answered {
			t.Fatalf("got %+v, want answered", o)
		}
		if v := call.Response.Header.Peek("Keep-Alive"); len(v) > 0 {
			t.Errorf("the upstream's Keep-Alive header %q is passed on to the caller", v)
		}
	}
	if n := p.opened.Load(); n != 2 {
		t.Errorf("%d connections opened, want a new one for the second call", n)
	}
}

// A node stops while a call is running. If this were reported like the caller's disconnect,
// the call would not be retried although it is idempotent and its caller still waits at
// another node.
func TestCancelReasonIsReported(t *testing.T) {
	began := make(chan struct{})
	p := startServer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		if _, err := readRequestPath(r); err == nil {
			close(began)
		}
	})
	call := call("/", callTimeout)
	go func() {
		<-began
		call.Cancel.Trigger(kqcall.Draining)
		call.Cancel.Trigger(kqcall.Cancelled)
	}()
	if o := p.client().Do(call); o != kqcall.UnknownOutcome(kqcall.Draining) {
		t.Errorf("got %+v, want unknown: draining", o)
	}
	if o := p.client().Do(call); o != kqcall.Refuse(kqcall.Draining) {
		t.Errorf("call cancelled before it was sent: got %+v, want not_run: draining", o)
	}
}
