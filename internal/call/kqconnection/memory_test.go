package kqconnection_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/kumquatgw/kumquatgw/internal/base/kqbuffer"
	"github.com/kumquatgw/kumquatgw/internal/base/kqmemory"
	"github.com/kumquatgw/kumquatgw/internal/call/kqbody"
	"github.com/kumquatgw/kumquatgw/internal/call/kqconnection"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqreclaim"
)

// received is a body that a bodyServer has received, and the memory that was reserved for it.
type received struct {
	length, reserved int
	err              error
}

// newAccount returns an account without limits and a group of its clients.
func newAccount() (*kqmemory.Account, *kqmemory.Group) {
	a := kqmemory.New(kqmemory.Limits{})
	return a, a.Group(0, kqmemory.ConnectionMemory)
}

// receiveBody sends a request to a server with a read buffer of the given size, and returns the body
// that the server received.
func receiveBody(t failer, request string, bufferSize int) received {
	t.Helper()
	a, g := newAccount()
	l := listen(t, kqconnection.WithGroup(g, func() {}))
	result := make(chan received, 1)
	server := &fasthttp.Server{StreamRequestBody: true, ReadBufferSize: bufferSize, MaxRequestBodySize: 1 << 20, Handler: func(ctx *fasthttp.RequestCtx) {
		m := kqconnection.ClientOf(ctx.Conn()).NewReservation()
		b, err := kqbody.Receive(ctx.RequestBodyStream(), ctx.Request.Header.ContentLength(), 1<<20, m, 0)
		if err != nil {
			result <- received{err: err}
			return
		}
		b.Attach(&ctx.Request)
		result <- received{length: kqbody.Length(&ctx.Request), reserved: a.Used(kqmemory.SmallBodies) + a.Used(kqmemory.LargeBodies)}
		ctx.Request.ResetBody()
		b.Release()
	}}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.WriteString(caller, request) }()
	got := <-result
	_, _, _ = caller.Close(), l.Close(), <-ended
	return got
}

// Guards against counting a chunked body's framing: callers that send small chunks would be
// refused for several times the memory that their bodies take.
func TestReservedMemoryCountsChunkDataOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunks := rapid.SliceOfN(rapid.IntRange(1, 300), 1, 40).Draw(t, "chunks")
		extension := rapid.SampledFrom([]string{"", ";a=b", " "}).Draw(t, "extension")
		var request strings.Builder
		request.WriteString("PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n")
		want := 0
		for _, n := range chunks {
			fmt.Fprintf(&request, "%X%s\r\n%s\r\n", n, extension, make([]byte, n))
			want += n
		}
		request.WriteString("0\r\nx: y\r\n\r\n")
		got := receiveBody(t, request.String(), rapid.IntRange(100, 5000).Draw(t, "buffer"))
		reserved := 0
		if want > 4<<10 {
			reserved = kqbuffer.Size(want)
		}
		if got.err != nil || got.length != want || got.reserved != reserved {
			t.Fatalf("received %+v, want %d bytes and memory for %d", got, want, reserved)
		}
	})
}

// Guards against bodies of unknown length that reserve no memory because their head arrived
// in several parts.
func TestMemoryIsReservedIfTheHeadIsSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, g := newAccount()
		server, caller, done := openConnection(t, kqconnection.WithGroup(g, func() {}))
		defer done()
		fields := strings.Repeat("a:\r\n", 1000)
		go func() {
			_, _ = io.WriteString(caller, "PUT / HTTP/1.1\r\ntransfer-encoding: chunked\r\nhost: a\r\n"+fields+"\r\n5\r\nabcde\r\n0\r\n\r\n")
			_ = caller.(*net.TCPConn).CloseWrite()
		}()
		b := make([]byte, rapid.IntRange(1, 100).Draw(t, "buffer"))
		readAll(server, b)
		if got := a.Used(kqmemory.Calls); got < 100<<10 {
			t.Fatalf("%d bytes are reserved for 1,000 fields", got)
		}
	})
	for piece := 1; piece < 40; piece++ {
		if got := receiveBody(t, "PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1388\r\n"+strings.Repeat("x", 5000)+"\r\n0\r\n\r\n", 100+piece); got.err != nil || got.length != 5000 || got.reserved < 5000 {
			t.Errorf("received %+v of a body of 5,000", got)
		}
	}
}

// Guards against heads and trailers with thousands of fields, which take many times their length
// once they are parsed, and against memory that stays reserved after the connection.
func TestFieldsReserveMemory(t *testing.T) {
	const fields = 4000
	text := strings.Repeat("a:\r\n", fields)
	for name, request := range map[string]string{
		"head":      "GET / HTTP/1.1\r\nhost: a\r\n" + text,
		"trailer":   "PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + text,
		"malformed": "PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n" + text,
	} {
		t.Run(name, func(t *testing.T) {
			a, g := newAccount()
			server, caller, done := openConnection(t, kqconnection.WithGroup(g, func() {}))
			defer done()
			go func() {
				_, _ = io.WriteString(caller, request)
				_ = caller.(*net.TCPConn).CloseWrite()
			}()
			readAll(server, make([]byte, 4096))
			if got := a.Used(kqmemory.Calls); got < fields*100 {
				t.Errorf("%d bytes are reserved for %d fields", got, fields)
			}
			_ = server.Close()
			if calls, connections := a.Used(kqmemory.Calls), a.Used(kqmemory.Connections); calls > kqmemory.LingeringMemory || connections != 0 {
				t.Errorf("%d and %d bytes stay reserved after the connection was closed", calls, connections)
			}
		})
	}
}

// readAll reads a connection to its end, always into the same buffer.
func readAll(c net.Conn, b []byte) {
	for {
		if _, err := c.Read(b); err != nil {
			return
		}
	}
}

// Guards against an upstream's slot that is kept by a caller that does not read its response.
func TestUnreadResponseIsCutOff(t *testing.T) {
	a, g := newAccount()
	server, _, done := openConnection(t, kqconnection.WithGroup(g, func() {}))
	defer done()
	written := make(chan error, 1)
	go func() {
		_, err := server.Write(make([]byte, 64<<20))
		written <- err
	}()
	for {
		select {
		case err := <-written:
			if err == nil {
				t.Error("64 MB were written to a caller that does not read")
			}
			return
		case <-time.After(10 * time.Millisecond):
			a.Sweep(200*time.Millisecond, time.Now())
		}
	}
}

// Guards against callers that are turned away while others keep idle connections.
func TestIdleConnectionIsClosedForAnother(t *testing.T) {
	a := kqmemory.New(kqmemory.Limits{Open: 1})
	l := listen(t, kqconnection.WithGroup(a.Group(0, 0), func() {}))
	defer func() { _ = l.Close() }()
	first, _, done := connect(t, l)
	defer done()
	time.Sleep(kqreclaim.StallAfter)
	_, caller, done := connect(t, l)
	defer done()
	if _, err := first.Read(make([]byte, 1)); err == nil {
		t.Error("the idle connection is open")
	}
	_ = caller.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	if _, err := caller.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the new connection ended with %v", err)
	}
}
