package kqconnection_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/kumquatgw/kumquatgw/internal/call/kqconnection"
)

// startServer starts a server with the handler and returns a caller's connection to it.
func startServer(t failer, handler fasthttp.RequestHandler) (caller net.Conn, done func()) {
	t.Helper()
	l := listen(t)
	server := &fasthttp.Server{Handler: kqconnection.Serve(handler), ReadTimeout: 10 * time.Second, MaxRequestBodySize: 1 << 20}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return caller, func() {
		_, _, _ = caller.Close(), l.Close(), <-ended
	}
}

// readBodies reads count responses and returns their bodies. It returns an empty body for a
// response of unknown length.
func readBodies(t interface{ Fatal(args ...any) }, caller net.Conn, count int) []string {
	_ = caller.SetReadDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(caller)
	var bodies []string
	for range count {
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal("reading responses after ", bodies, ": ", err)
		}
		body := make([]byte, max(a.ContentLength, 0))
		for n := 0; n < len(body); {
			read, err := a.Body.Read(body[n:])
			if n += read; err != nil && n < len(body) {
				t.Fatal(err)
			}
		}
		_ = a.Body.Close()
		bodies = append(bodies, string(body))
	}
	return bodies
}

// A caller pipelines six requests that take their upstream 150 ms each. Served one after
// the other, the last response would take 900 ms while upstreams are idle.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	const count, work = 6, 150 * time.Millisecond
	caller, done := startServer(t, func(ctx *fasthttp.RequestCtx) {
		time.Sleep(work)
		ctx.SetBody(ctx.Path())
	})
	defer done()
	began := time.Now()
	for i := range count {
		fmt.Fprintf(caller, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
		time.Sleep(time.Millisecond)
	}
	got := readBodies(t, caller, count)
	if took := time.Since(began); took > 3*work {
		t.Errorf("%d concurrent requests of %v took %v", count, work, took)
	}
	if want := "/0 /1 /2 /3 /4 /5"; strings.Join(got, " ") != want {
		t.Errorf("got responses %v, want %v", got, want)
	}
}

// A request that is not safe waits for the requests before it and delays those behind it:
// served concurrently, a read could miss a change that its caller made first.
func TestUnsafeRequestsAreServedAlone(t *testing.T) {
	var running, concurrent atomic.Int64
	caller, done := startServer(t, func(ctx *fasthttp.RequestCtx) {
		check := func(n int64) {
			if !ctx.IsGet() && n > 1 {
				concurrent.Store(n)
			}
		}
		check(running.Add(1))
		time.Sleep(20 * time.Millisecond)
		check(running.Load())
		running.Add(-1)
		ctx.SetBody(ctx.Path())
	})
	defer done()
	for i := range 4 {
		fmt.Fprintf(caller, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
		fmt.Fprintf(caller, "POST /p%d HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab", i)
	}
	got := strings.Join(readBodies(t, caller, 8), " ")
	if want := "/0 /p0 /1 /p1 /2 /p2 /3 /p3"; got != want {
		t.Errorf("got responses %v, want %v", got, want)
	}
	if concurrent.Load() > 0 {
		t.Errorf("%d requests ran at once, one of them not safe", concurrent.Load())
	}
}

// A response that closes the connection would lose the requests behind it. The connection
// must stay open while any are pending, however late they came.
func TestConnectionStaysOpenForPipelinedRequests(t *testing.T) {
	caller, done := startServer(t, func(ctx *fasthttp.RequestCtx) {
		time.Sleep(30 * time.Millisecond)
		ctx.SetBody(ctx.Path())
		ctx.SetConnectionClose()
	})
	defer done()
	for i := range 5 {
		fmt.Fprintf(caller, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
		if i < 4 {
			time.Sleep(5 * time.Millisecond)
		}
	}
	if got := strings.Join(readBodies(t, caller, 5), " "); got != "/0 /1 /2 /3 /4" {
		t.Errorf("got responses %v, want them in order", got)
	}
}

// A response of unknown length arrives long before the earlier request is answered, and the
// deadline of its upstream connection passes in the meantime. If it were read only
// afterwards, it would be cut off, and the responses behind it with it.
func TestStreamedResponseIsReadAhead(t *testing.T) {
	const size = 5000
	caller, done := startServer(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/slow" {
			time.Sleep(200 * time.Millisecond)
			return
		}
		until := time.Now().Add(50 * time.Millisecond)
		ctx.SetBodyStream(&expiringReader{strings.NewReader(strings.Repeat("a", size)), until}, -1)
	})
	defer done()
	fmt.Fprint(caller, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\nGET /stream HTTP/1.1\r\nHost: a\r\n\r\n")
	if got := readBodies(t, caller, 2); len(got[1]) != size {
		t.Errorf("the second response has %d bytes, want %d", len(got[1]), size)
	}
}

// expiringReader fails after a deadline.
type expiringReader struct {
	io.Reader
	until time.Time
}

// Read implements io.Reader.
func (e *expiringReader) Read(b []byte) (int, error) {
	if time.Now().After(e.until) {
		return 0, os.ErrDeadlineExceeded
	}
	return e.Reader.Read(b)
}

// Whatever requests callers pipeline, and however the bytes are split, each response must
// belong to the request in its place. Both this package and fasthttp determine where a
// request ends; if they disagreed, a caller would get another request's response.
func TestPipelinedResponsesKeepTheirOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		caller, done := startServer(t, func(ctx *fasthttp.RequestCtx) {
			time.Sleep(time.Duration(len(ctx.Path())%3) * time.Millisecond)
			ctx.SetBody(append(append([]byte(nil), ctx.Method()...), ctx.Path()...))
		})
		defer done()
		var sent strings.Builder
		var want []string
		for i := range rapid.IntRange(1, 12).Draw(t, "requests") {
			path := fmt.Sprintf("/%d%s", i, strings.Repeat("x", rapid.IntRange(0, 2).Draw(t, "length")))
			form := rapid.SampledFrom([]string{
				"GET %s HTTP/1.1\r\nHost: a\r\n\r\n", "GET %s HTTP/1.1\nHost: a\n\n", "GET %s HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nGET ",
				"POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
				"POST %s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
			}).Draw(t, "form")
			fmt.Fprintf(&sent, form, path)
			want = append(want, strings.Fields(form)[0]+path)
		}
		// fasthttp takes a head without carriage returns as complete only once more bytes
		// have arrived.
		sent.WriteString("GET /last HTTP/1.1\r\nHost: a\r\n\r\n")
		want = append(want, "GET/last")
		text := sent.String()
		piece := rapid.IntRange(1, 200).Draw(t, "piece")
		go func() {
			for len(text) > 0 {
				n := min(piece, len(text))
				_, _ = caller.Write([]byte(text[:n]))
				text = text[n:]
			}
		}()
		got := readBodies(t, caller, len(want))
		if strings.Join(got, " ") != strings.Join(want, " ") {
			t.Fatalf("got responses %v, want %v", got, want)
		}
	})
}
