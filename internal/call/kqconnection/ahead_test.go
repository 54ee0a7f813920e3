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

// served starts a server with the handler and returns a caller's connection to it.
func served(t failer, handler fasthttp.RequestHandler) (caller net.Conn, done func()) {
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

// answers reads that many answers' bodies.
func answers(t interface{ Fatal(args ...any) }, caller net.Conn, count int) []string {
	_ = caller.SetReadDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(caller)
	var bodies []string
	for range count {
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal("after ", bodies, ": ", err)
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

// A caller sends requests behind each other, each of which takes its upstream 150 ms.
// Served one after the other, the last of six has its answer after 900 ms, long after the
// time in which its caller wants it, while upstreams stand idle.
func TestRequestsBehindEachOtherDoNotWaitForEachOther(t *testing.T) {
	const count, work = 6, 150 * time.Millisecond
	caller, done := served(t, func(ctx *fasthttp.RequestCtx) {
		time.Sleep(work)
		ctx.SetBody(ctx.Path())
	})
	defer done()
	began := time.Now()
	for i := range count {
		fmt.Fprintf(caller, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
		time.Sleep(time.Millisecond)
	}
	got := answers(t, caller, count)
	if took := time.Since(began); took > 3*work {
		t.Errorf("%d requests of %v took %v", count, work, took)
	}
	if want := "/0 /1 /2 /3 /4 /5"; strings.Join(got, " ") != want {
		t.Errorf("answers %v, want %v", got, want)
	}
}

// Behind a request that changes something others wait, and it waits for those before it:
// run beside it, a request that reads could miss the change that its caller made first.
func TestRequestsThatChangeSomethingAreServedAlone(t *testing.T) {
	var under, most atomic.Int64
	caller, done := served(t, func(ctx *fasthttp.RequestCtx) {
		look := func(n int64) {
			if !ctx.IsGet() && n > 1 {
				most.Store(n)
			}
		}
		look(under.Add(1))
		time.Sleep(20 * time.Millisecond)
		look(under.Load())
		under.Add(-1)
		ctx.SetBody(ctx.Path())
	})
	defer done()
	for i := range 4 {
		fmt.Fprintf(caller, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
		fmt.Fprintf(caller, "POST /p%d HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab", i)
	}
	got := strings.Join(answers(t, caller, 8), " ")
	if want := "/0 /p0 /1 /p1 /2 /p2 /3 /p3"; got != want {
		t.Errorf("answers %v, want %v", got, want)
	}
	if most.Load() > 0 {
		t.Errorf("%d requests at once beside one that changes something", most.Load())
	}
}

// An answer that closes its connection leaves the requests behind it without one. It
// must not close while others wait, however shortly before its end they came.
func TestAnswerDoesNotCloseOnOthers(t *testing.T) {
	caller, done := served(t, func(ctx *fasthttp.RequestCtx) {
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
	if got := strings.Join(answers(t, caller, 5), " "); got != "/0 /1 /2 /3 /4" {
		t.Errorf("answers %v", got)
	}
}

// An answer of unstated length is there long before its turn, and its upstream's connection
// has a deadline that ends before it. Read only in its turn it would be cut off, and the
// answers behind it with it.
func TestStreamedAnswerIsTakenBeforeItsTurn(t *testing.T) {
	const size = 5000
	caller, done := served(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/slow" {
			time.Sleep(200 * time.Millisecond)
			return
		}
		until := time.Now().Add(50 * time.Millisecond)
		ctx.SetBodyStream(&expiring{strings.NewReader(strings.Repeat("a", size)), until}, -1)
	})
	defer done()
	fmt.Fprint(caller, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\nGET /stream HTTP/1.1\r\nHost: a\r\n\r\n")
	if got := answers(t, caller, 2); len(got[1]) != size {
		t.Errorf("the second answer has %d bytes, want %d", len(got[1]), size)
	}
}

// expiring can be read until a deadline only.
type expiring struct {
	io.Reader
	until time.Time
}

// Read implements io.Reader.
func (e *expiring) Read(b []byte) (int, error) {
	if time.Now().After(e.until) {
		return 0, os.ErrDeadlineExceeded
	}
	return e.Reader.Read(b)
}

// Whatever callers send behind each other, in whatever pieces, each answer belongs to the
// request in its place. The ends of requests are found by two readers, here and in the
// server's library; where they differ, a caller would read another request's answer.
func TestAnswersKeepTheirOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		caller, done := served(t, func(ctx *fasthttp.RequestCtx) {
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
		// The library takes a head that ends without carriage returns for whole only once
		// more has come.
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
		got := answers(t, caller, len(want))
		if strings.Join(got, " ") != strings.Join(want, " ") {
			t.Fatalf("answers %v, want %v", got, want)
		}
	})
}
