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

// An upstream refuses a long body before it has read it, and closes. The rest of the
// body meets a closed connection; the caller is due the answer that came before, and
// not the news that its call's end is unknown.
func TestAnswerBeforeTheBodyWasTaken(t *testing.T) {
	p := newPeer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nConnection: close\r\nContent-Length: 3\r\n\r\nbig")
		_ = c.Close()
	})
	for range 20 {
		call := call("/", patience)
		call.Request.SetBody(bytes.Repeat([]byte{'b'}, 16<<20))
		if o := p.client().Do(call); o.Result != kqcall.Answered || string(call.Response.Body()) != "big" {
			t.Fatalf("got %+v, status %d, want the upstream's answer", o, call.Response.StatusCode())
		}
	}
}

// The same upstream's answer has no length, and ends with the connection that it
// resets. Nobody can tell whether all of it has come, so it must not look complete.
func TestAnswerBeforeTheBodyWasTakenMayBeTorn(t *testing.T) {
	p := newPeer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nConnection: close\r\n\r\na part of")
		_ = c.Close()
	})
	for range 20 {
		call := call("/", patience)
		call.Request.SetBody(bytes.Repeat([]byte{'b'}, 16<<20))
		if o := p.client().Do(call); o != kqcall.Lose(kqcall.Cut) {
			t.Fatalf("got %+v, want unknown: cut", o)
		}
	}
}

// An upstream states for how long it keeps a connection without a call, and then
// closes it. A call sent at that moment would be cut, and its caller could not tell
// whether it ran.
func TestStatedIdleTimeIsKept(t *testing.T) {
	p := newPeer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			path, err := request(r)
			if err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1, max=100\r\nContent-Length: %d\r\n\r\n%s", len(path), path)
		}
	})
	client := p.client()
	for _, pause := range []time.Duration{0, 1200 * time.Millisecond} {
		time.Sleep(pause)
		call := call("/", patience)
		if o := client.Do(call); o.Result != kqcall.Answered {
			t.Fatalf("got %+v, want an answer", o)
		}
		if v := call.Response.Header.Peek("Keep-Alive"); len(v) > 0 {
			t.Errorf("the upstream's own Keep-Alive %q is passed on", v)
		}
	}
	if n := p.opened.Load(); n != 2 {
		t.Errorf("%d connections opened, want a new one for the second call", n)
	}
}

// A node ends before a call that runs. Told like a caller's going away, the call would
// not be sent again although it is idempotent and its caller waits at another node.
func TestCancelTellsWhy(t *testing.T) {
	began := make(chan struct{})
	p := newPeer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		if _, err := request(r); err == nil {
			close(began)
		}
	})
	call := call("/", patience)
	go func() {
		<-began
		call.Cancel.Now(kqcall.Draining)
		call.Cancel.Now(kqcall.Cancelled)
	}()
	if o := p.client().Do(call); o != kqcall.Lose(kqcall.Draining) {
		t.Errorf("got %+v, want unknown: draining", o)
	}
	if o := p.client().Do(call); o != kqcall.Refuse(kqcall.Draining) {
		t.Errorf("a call that is cancelled already: got %+v, want not_run: draining", o)
	}
}
