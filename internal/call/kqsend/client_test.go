package kqsend_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqsend"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const callTimeout = 10 * time.Second

// testServer is a TCP server that runs the test's function for each connection, with the
// connection's number from 1.
type testServer struct {
	net.Listener
	opened atomic.Int32
}

func startServer(t *testing.T, serve func(number int, c net.Conn, r *bufio.Reader)) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &testServer{Listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(p.opened.Add(1))
			go serve(n, c, bufio.NewReader(c))
		}
	}()
	return p
}

func (p *testServer) client() *kqsend.Client { return kqsend.New(kqname.Address(p.Addr().String())) }

// readRequestPath reads one request and returns its path.
func readRequestPath(r *bufio.Reader) (string, error) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	return q.URL.Path, nil
}

func writeResponse(c net.Conn, path string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(path), path)
}

func call(path string, left time.Duration) *kqcall.Call {
	c := &kqcall.Call{
		Request: &fasthttp.Request{}, Response: &fasthttp.Response{}, Cancel: &kqcall.Cancel{}, Deadline: time.Now().Add(left),
	}
	c.Request.SetRequestURI("http://store" + path)
	c.Request.Header.SetMethod(http.MethodPost)
	return c
}

// A peer closes an idle connection between two calls, as a restarted process does. The
// second call must use a new connection: written to the closed one, its outcome would be
// unknown, and a call that is not idempotent could neither be retried nor be reported as
// not run.
func TestConnectionClosedBetweenCalls(t *testing.T) {
	closed := make(chan struct{})
	p := startServer(t, func(number int, c net.Conn, r *bufio.Reader) {
		if path, err := readRequestPath(r); err == nil {
			writeResponse(c, path)
		}
		if number == 1 {
			_ = c.Close()
			close(closed)
		}
	})
	client := p.client()
	if o := client.Do(call("/one", callTimeout)); o != kqcall.OK() {
		t.Fatalf("first call: got %v, want answered", o)
	}
	<-closed
	second := call("/two", callTimeout)
	if o := client.Do(second); o != kqcall.OK() || string(second.Response.Body()) != "/two" {
		t.Errorf("second call: %v %q, want its own response", o, second.Response.Body())
	}
}

// A peer reads the whole request and closes the connection before it responds. The call
// may have run, so sending it again, or reporting it as not run, could make it run twice.
// It must be sent once and be reported as unknown.
func TestCutAfterTheRequest(t *testing.T) {
	p := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = readRequestPath(r)
		_ = c.Close()
	})
	if o := p.client().Do(call("/order", callTimeout)); o != kqcall.UnknownOutcome(kqcall.Cut) {
		t.Errorf("outcome is %v, want unknown: cut", o)
	}
	if n := p.opened.Load(); n != 1 {
		t.Errorf("%d connections opened, want 1", n)
	}
}

// Nothing listens at the address. No byte was sent, so the call is reported as not run.
func TestConnectionRefusedIsNotRun(t *testing.T) {
	p := startServer(t, func(int, net.Conn, *bufio.Reader) {})
	_ = p.Close()
	if o := p.client().Do(call("/order", callTimeout)); o != kqcall.Refuse(kqcall.ConnectFailed) {
		t.Errorf("outcome is %v, want not_run: connect_failed", o)
	}
}

// A response arrives after its call has timed out. The connection must be closed with the
// call, or the response would be read as that of the next call, which may be another
// caller's.
func TestLateAnswerReachesNobody(t *testing.T) {
	late := make(chan struct{})
	p := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			path, err := readRequestPath(r)
			if err != nil {
				return
			}
			if path == "/slow" {
				<-late
			}
			writeResponse(c, path)
		}
	})
	client := p.client()
	if o := client.Do(call("/slow", 50*time.Millisecond)); o != kqcall.UnknownOutcome(kqcall.Timeout) {
		t.Errorf("slow call: %v, want unknown: timeout", o)
	}
	close(late)
	next := call("/next", callTimeout)
	if o := client.Do(next); o != kqcall.OK() || string(next.Response.Body()) != "/next" {
		t.Errorf("next call: %v %q, want its own response", o, next.Response.Body())
	}
}

// A peer sends a second, unsolicited response behind the first. If the connection were
// kept, the next caller would get it.
func TestSurplusAnswerReachesNobody(t *testing.T) {
	p := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			path, err := readRequestPath(r)
			if err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%sHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen", len(path), path)
		}
	})
	client := p.client()
	for _, path := range []string{"/one", "/two", "/three"} {
		c := call(path, callTimeout)
		if o := client.Do(c); o != kqcall.OK() || string(c.Response.Body()) != path {
			t.Errorf("call %s: %v %q, want its own response", path, o, c.Response.Body())
		}
	}
}

// A peer answers one call with the response to another, complete and in time, which only
// the call id shows. The caller must get an unknown outcome, and the connection must not be
// reused.
func TestCrossedAnswerIsCaught(t *testing.T) {
	p := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := readRequestPath(r); err == nil {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nKq-Call-Id: other\r\nContent-Length: 6\r\n\r\nstolen")
			_, _ = r.ReadByte()
		}
	})
	client := p.client()
	for n := range int32(2) {
		if o := client.Do(call("/one", callTimeout)); o != kqcall.UnknownOutcome(kqcall.MismatchedResponse) {
			t.Errorf("outcome is %v, want unknown: crossed", o)
		}
		if got := p.opened.Load(); got != n+1 {
			t.Errorf("%d connections for %d calls, want one per call", got, n+1)
		}
	}
}

// A caller disconnects while its call runs. The work would hold a slot for nothing, so the
// peer must see the connection close.
func TestCancelClosesTheConnection(t *testing.T) {
	began, seen := make(chan struct{}), make(chan struct{})
	p := startServer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		_, _ = readRequestPath(r)
		close(began)
		_, _ = r.ReadByte()
		close(seen)
	})
	c := call("/long", callTimeout)
	go func() {
		<-began
		c.Cancel.Trigger(kqcall.Cancelled)
	}()
	if o := p.client().Do(c); o != kqcall.UnknownOutcome(kqcall.Cancelled) {
		t.Errorf("outcome is %v, want unknown: cancelled", o)
	}
	select {
	case <-seen:
	case <-time.After(callTimeout):
		t.Error("the peer never saw the connection close")
	}
}
