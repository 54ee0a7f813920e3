package kqconnection_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/kumquatgw/kumquatgw/internal/call/kqconnection"
)

// Whatever callers send, however it is split and whatever the buffer's size, the server
// must read exactly those bytes. If a byte were lost or moved, a request could run that was
// never sent.
func TestEveryByteIsReadInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server, caller, done := openConnection(t)
		defer done()
		pieces := rapid.SliceOfN(rapid.SampledFrom([]string{
			"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "PUT / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab", "cde", "\r\n", "\n\n", "\r", "a",
			"PUT / HTTP/1.1\r\ncontent-length:9999999999999\r\n\r\n", "Content-Length: -1\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n",
		}), 1, 20).Draw(t, "pieces")
		sent := strings.Join(pieces, "")
		go func() {
			for _, p := range pieces {
				_, _ = io.WriteString(caller, p)
			}
			_ = caller.(*net.TCPConn).CloseWrite()
		}()
		var got strings.Builder
		b := make([]byte, rapid.IntRange(1, 64).Draw(t, "buffer"))
		for {
			n, err := server.Read(b)
			got.Write(b[:n])
			if err != nil {
				break
			}
		}
		if got.String() != sent {
			t.Fatalf("read %q, want %q", got.String(), sent)
		}
	})
}

// A caller sends three requests at once, the second with a body. Each read must return one
// of them, and Pending must report whether more have arrived.
func TestOneRequestAtATime(t *testing.T) {
	server, caller, done := openConnection(t)
	defer done()
	requests := []string{
		"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n", "PUT /2 HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody", "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n",
	}
	if _, err := io.WriteString(caller, strings.Join(requests, "")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	b := make([]byte, 4096)
	for i, want := range requests {
		n, err := server.Read(b)
		if string(b[:n]) != want || err != nil {
			t.Errorf("read %q %v, want %q", b[:n], err, want)
		}
		if pending := server.(interface{ Pending() bool }).Pending(); pending != (i < 2) {
			t.Errorf("after request %d of 3: Pending is %v", i+1, pending)
		}
	}
}

// A head is split at any byte and followed by another request, which must not be returned
// with the first.
func TestHeadSplitAcrossReads(t *testing.T) {
	const first, second = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n", "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
	b := make([]byte, 4096)
	for at := 1; at < len(first); at++ {
		server, caller, done := openConnection(t)
		_, _ = io.WriteString(caller, first[:at])
		n, err := server.Read(b)
		if n != at || err != nil {
			t.Fatalf("read %d bytes, %v, want %d", n, err, at)
		}
		_, _ = io.WriteString(caller, first[at:]+second)
		if n, err = server.Read(b); string(b[:n]) != first[at:] || err != nil {
			t.Errorf("split at %d: read %q %v, want %q", at, b[:n], err, first[at:])
		}
		done()
	}
}

// Two calls are sent at once and the second takes long. The first response must not wait
// for the second, as it would if fasthttp read both.
func TestResponseDoesNotWaitForTheNextRequest(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/second" {
			<-release
		}
		ctx.SetBody(ctx.Path())
	}}
	served := make(chan error, 1)
	go func() { served <- server.Serve(kqconnection.New(inner)) }()
	caller, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	fmt.Fprint(caller, "GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n")
	_ = caller.SetReadDeadline(time.Now().Add(5 * time.Second))
	r := bufio.NewReader(caller)
	for _, want := range []string{"/first", "/second"} {
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Errorf("no response to %s: %v", want, err)
			break
		}
		if body, _ := io.ReadAll(a.Body); string(body) != want {
			t.Errorf("got %q, want %q", body, want)
		}
		if want == "/first" {
			close(release)
		}
	}
	_ = inner.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// One caller has connected and sent nothing, another has begun its request. Only the first
// one's connection may be closed.
func TestOnlyUnusedConnectionsAreClosed(t *testing.T) {
	l := listen(t)
	defer func() { _ = l.Close() }()
	for _, sends := range []bool{false, true} {
		server, caller, done := connect(t, l)
		defer done()
		b := make([]byte, 8)
		if sends {
			fmt.Fprint(caller, "GET")
			if _, err := server.Read(b); err != nil {
				t.Fatal(err)
			}
			fmt.Fprint(caller, " /")
		}
		l.CloseUnused()
		if _, err := server.Read(b); (err == nil) != sends {
			t.Errorf("connection that sends=%v: read returned error %v", sends, err)
		}
	}
}
