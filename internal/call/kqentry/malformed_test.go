package kqentry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Guards against a malformed response that reaches a caller, and against a call that is not
// idempotent and is sent to a second upstream after one.
func TestMalformedResponseReachesNoCaller(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 0, 0, 0)
	var received atomic.Int32
	for _, node := range []string{"good", "bad"} {
		server := s.start(t, kqfleet.Spec{Node: kqname.Node(node), Domain: "one", Region: "one"})
		startHTTPUpstream(t, server, "store", func(w http.ResponseWriter, _ *http.Request) {
			received.Add(1)
			if node == "good" {
				_, _ = io.WriteString(w, "good")
				return
			}
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 000 OK\r\nX-Stamp: a1\r\nContent-Length: 6\r\n\r\nbroken")
			_ = conn.Close()
		})
	}
	poll(t, "both upstreams are known", func() bool {
		known := 0
		for _, m := range s.front.Node.Members() {
			known += len(m.Upstreams)
		}
		return known == 2
	})
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		unknown := 0
		for range 60 {
			received.Store(0)
			a := exchange(t, s.front.Node.EntryAddress(), method+" / HTTP/1.1\r\nHost: store\r\nContent-Length: 0\r\n\r\n")
			body, err := io.ReadAll(a.Body)
			reason, stamp := a.Header.Get(kqcall.HeaderReason), a.Header.Get("X-Stamp")
			switch {
			case err != nil || stamp != "" || strings.Contains(string(body), "broken"):
				t.Fatalf("%s: status %d, stamp %q, body %q, %v", method, a.StatusCode, stamp, body, err)
			case a.StatusCode == http.StatusOK && string(body) == "good":
			case a.StatusCode == fasthttp.StatusGatewayTimeout && reason == string(kqcall.MalformedResponse):
				unknown++
			default:
				t.Fatalf("%s: status %d, reason %q, body %q", method, a.StatusCode, reason, body)
			}
			if n := received.Load(); method == http.MethodPost && n != 1 {
				t.Fatalf("an order reached %d upstreams", n)
			}
		}
		t.Logf("%s: %d of 60 calls ended as unknown", method, unknown)
	}
}

// Guards against a streamed body that turns out malformed or cut off after its head has been
// passed on, and looks complete to the caller.
func TestMalformedBodyLooksIncomplete(t *testing.T) {
	t.Parallel()
	const chunked, untilClose = "Transfer-Encoding: chunked\r\n\r\n", "Connection: close\r\n\r\n"
	bodies := map[string]string{
		"/chunk":   chunked + "2\r\nok\r\nzz\r\n",
		"/end":     chunked + "2\r\nokk\r\n0\r\n\r\n",
		"/line":    chunked + "2\r\nok\r\n0\r\nX\n\r\n",
		"/trailer": chunked + "2\r\nok\r\n0\r\nX-Sum\r\n\r\n",
		"/cut":     chunked + "2\r\nok\r\n",
		"/length":  "Content-Length: 100000\r\n\r\nok",
		"/large":   "Content-Length: 2000000\r\n\r\n" + strings.Repeat("x", 100000),
		"/reset":   untilClose + strings.Repeat("x", 100000),
	}
	s := newTestFleet(t, 0, 0, 0)
	back := s.start(t, kqfleet.Spec{Node: "back", Domain: "one", Region: "one"})
	for _, server := range []*kqfleet.Server{back, s.front} {
		startHTTPUpstream(t, server, "store", func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+bodies[r.URL.Path])
			if r.URL.Path == "/reset" {
				time.Sleep(100 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		})
		poll(t, "the upstream is known", func() bool {
			o, err := s.send(http.MethodGet, "cut")
			return err != nil || o.Reason != kqcall.NoUpstream
		})
		for path := range bodies {
			for _, version := range []string{"1.1", "1.0"} {
				conn, err := net.Dial("tcp", string(s.front.Node.EntryAddress()))
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.WriteString(conn, "POST "+path+" HTTP/"+version+"\r\nHost: store\r\nContent-Length: 0\r\n\r\n")
				_ = conn.SetDeadline(time.Now().Add(testTimeout))
				a, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatalf("%s, HTTP/%s: %v", path, version, err)
				}
				if body, err := io.ReadAll(a.Body); err == nil && a.StatusCode < http.StatusInternalServerError {
					t.Errorf("%s, HTTP/%s: status %d and %d bytes look complete, %v", path, version, a.StatusCode, len(body), a.TransferEncoding)
				}
				_ = conn.Close()
			}
		}
	}
}

// Guards against a valid response of an unusual form that reaches a caller changed, or not at all.
func TestUnusualResponsesReachCallersWhole(t *testing.T) {
	t.Parallel()
	responses := map[string]struct {
		method, response, body string
		status                 int
	}{
		"/reason":   {"GET", "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", "ok", 200},
		"/value":    {"GET", "HTTP/1.1 200 OK\r\nX-Name: \xfc\r\nX-Empty:\r\nContent-Length:\t2 \r\n\r\nok", "ok", 200},
		"/list":     {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok", "ok", 200},
		"/lengths":  {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", "ok", 200},
		"/old":      {"GET", "HTTP/1.0 200 OK\r\n\r\nok", "ok", 200},
		"/close":    {"GET", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", "ok", 200},
		"/chunks":   {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n1;a=b\r\no\r\n01\r\nk\r\n0;c\r\n\r\n", "ok", 200},
		"/trailer":  {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: \xfc\r\nX-Empty:\r\n\r\n", "ok", 200},
		"/interim":  {"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", 200},
		"/none":     {"GET", "HTTP/1.1 204 No Content\r\n\r\n", "", 204},
		"/same":     {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", "", 304},
		"/changed":  {"GET", "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n", "", 304},
		"/sizes":    {"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "", 200},
		"/large":    {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n", "", 200},
		"/nothing":  {"GET", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", "", 204},
		"/empty":    {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "", 200},
		"/head":     {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", "", 200},
		"/error":    {"POST", "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok", "ok", 599},
		"/question": {"POST", "HTTP/1.1 422\r\nContent-Length: 2\r\n\r\nok", "ok", 422},
	}
	s := newTestFleet(t, 0, 0, 0)
	back := s.start(t, kqfleet.Spec{Node: "back", Domain: "one", Region: "one"})
	startHTTPUpstream(t, back, "store", func(w http.ResponseWriter, r *http.Request) {
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_, _ = io.WriteString(conn, responses[r.URL.Path].response)
			_ = conn.Close()
		}
	})
	poll(t, "the upstream is known", func() bool {
		o, err := s.send(http.MethodGet, "none")
		return err != nil || o.Reason != kqcall.NoUpstream
	})
	for path, c := range responses {
		a := exchange(t, s.front.Node.EntryAddress(), c.method+" "+path+" HTTP/1.1\r\nHost: store\r\nContent-Length: 0\r\n\r\n")
		if c.method == http.MethodHead {
			a.Body = http.NoBody
		}
		body, err := io.ReadAll(a.Body)
		if err != nil || string(body) != c.body || a.StatusCode != c.status || a.Header.Get(kqcall.HeaderResult) != string(kqcall.Answered) {
			t.Errorf("%s: status %d %s, body %q, %v, want %d and %q", path, a.StatusCode, a.Header.Get(kqcall.HeaderReason), body, err, c.status, c.body)
		}
	}
}
