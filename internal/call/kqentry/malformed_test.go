package kqentry_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

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
