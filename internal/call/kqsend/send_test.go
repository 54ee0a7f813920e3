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

const patience = 10 * time.Second

// peer serves each connection, by its number from 1, with a function of the test's.
type peer struct {
	net.Listener
	opened atomic.Int32
}

func newPeer(t *testing.T, serve func(number int, c net.Conn, r *bufio.Reader)) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &peer{Listener: l}
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

func (p *peer) client() *kqsend.Client { return kqsend.New(kqname.Address(p.Addr().String())) }

// request reads one request and returns its path.
func request(r *bufio.Reader) (string, error) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	return q.URL.Path, nil
}

func answer(c net.Conn, path string) {
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

// A peer closes a kept connection between two calls, as a restarted process
// does. Written into that connection, the second call would end as unknown and
// an order could neither be repeated nor given up; it must take another one.
func TestConnectionClosedBetweenCalls(t *testing.T) {
	closed := make(chan struct{})
	p := newPeer(t, func(number int, c net.Conn, r *bufio.Reader) {
		if path, err := request(r); err == nil {
			answer(c, path)
		}
		if number == 1 {
			_ = c.Close()
			close(closed)
		}
	})
	client := p.client()
	if o := client.Do(call("/one", patience)); o != kqcall.OK() {
		t.Fatalf("first call: %v", o)
	}
	<-closed
	second := call("/two", patience)
	if o := client.Do(second); o != kqcall.OK() || string(second.Response.Body()) != "/two" {
		t.Errorf("second call: %v %q, want its own answer", o, second.Response.Body())
	}
}

// A peer reads the whole request and dies before it answers. The order may have
// been taken; if it were sent again it could be paid twice, and if it were told
// as not run its sender would send it again. It is sent once and told unknown.
func TestCutAfterTheRequest(t *testing.T) {
	p := newPeer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = request(r)
		_ = c.Close()
	})
	if o := p.client().Do(call("/order", patience)); o != kqcall.Lose(kqcall.Cut) {
		t.Errorf("outcome is %v, want unknown: cut", o)
	}
	if n := p.opened.Load(); n != 1 {
		t.Errorf("%d connections were opened, want one", n)
	}
}

// Nothing listens where a call is sent. Not a byte of it left, so its caller is
// told for certain that it did not run.
func TestNothingListens(t *testing.T) {
	p := newPeer(t, func(int, net.Conn, *bufio.Reader) {})
	_ = p.Close()
	if o := p.client().Do(call("/order", patience)); o != kqcall.Refuse(kqcall.ConnectFailed) {
		t.Errorf("outcome is %v, want not_run: connect_failed", o)
	}
}

// An answer comes after its call has timed out. On a connection that was kept
// it would be read as the answer of the next call, and an editor would get
// another's pictures; the connection must go with the call.
func TestLateAnswerReachesNobody(t *testing.T) {
	late := make(chan struct{})
	p := newPeer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			path, err := request(r)
			if err != nil {
				return
			}
			if path == "/slow" {
				<-late
			}
			answer(c, path)
		}
	})
	client := p.client()
	if o := client.Do(call("/slow", 50*time.Millisecond)); o != kqcall.Lose(kqcall.Timeout) {
		t.Errorf("slow call: %v, want unknown: timeout", o)
	}
	close(late)
	next := call("/next", patience)
	if o := client.Do(next); o != kqcall.OK() || string(next.Response.Body()) != "/next" {
		t.Errorf("next call: %v %q, want its own answer", o, next.Response.Body())
	}
}

// A peer sends more than the answer, a second one that nobody asked for. Kept,
// the connection would give it to the next caller.
func TestSurplusAnswerReachesNobody(t *testing.T) {
	p := newPeer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			path, err := request(r)
			if err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%sHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen", len(path), path)
		}
	})
	client := p.client()
	for _, path := range []string{"/one", "/two", "/three"} {
		c := call(path, patience)
		if o := client.Do(c); o != kqcall.OK() || string(c.Response.Body()) != path {
			t.Errorf("call %s: %v %q, want its own answer", path, o, c.Response.Body())
		}
	}
}

// A peer answers one call with another's answer, whole and in time: nothing in
// HTTP shows it. The call's id does; its caller must be told unknown, and
// nothing more may be read from that connection.
func TestCrossedAnswerIsCaught(t *testing.T) {
	p := newPeer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := request(r); err == nil {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nKq-Call-Id: other\r\nContent-Length: 6\r\n\r\nstolen")
			_, _ = r.ReadByte()
		}
	})
	client := p.client()
	for n := range int32(2) {
		if o := client.Do(call("/one", patience)); o != kqcall.Lose(kqcall.Crossed) {
			t.Errorf("outcome is %v, want unknown: crossed", o)
		}
		if got := p.opened.Load(); got != n+1 {
			t.Errorf("%d connections for %d calls, want each its own", got, n+1)
		}
	}
}

// A caller goes away while its call runs. Nobody waits for the answer, and the
// work would take a slot for nothing; the peer must see the connection close.
func TestCancelIsPassedOn(t *testing.T) {
	began, seen := make(chan struct{}), make(chan struct{})
	p := newPeer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		_, _ = request(r)
		close(began)
		_, _ = r.ReadByte()
		close(seen)
	})
	c := call("/long", patience)
	go func() {
		<-began
		c.Cancel.Now(kqcall.Cancelled)
	}()
	if o := p.client().Do(c); o != kqcall.Lose(kqcall.Cancelled) {
		t.Errorf("outcome is %v, want unknown: cancelled", o)
	}
	select {
	case <-seen:
	case <-time.After(patience):
		t.Error("the peer never saw the connection close")
	}
}
