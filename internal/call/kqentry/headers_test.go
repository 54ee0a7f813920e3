package kqentry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// httpUpstreamSlots is the number of slots that an httpUpstream announces.
const httpUpstreamSlots = 4

// httpUpstream is an upstream whose responses a test determines. It keeps each request's
// headers, with the request's path added as a header "Path".
type httpUpstream struct {
	net.Listener
	mu   sync.Mutex
	seen []http.Header
}

// startHTTPUpstream starts an httpUpstream of the service on a server without a kqupstream
// fake, and keeps announcing it. It responds with the header HeaderWorkID of the request,
// which testFleet.send checks.
func startHTTPUpstream(t *testing.T, s *kqfleet.Server, service kqname.Service, handler func(w http.ResponseWriter, r *http.Request)) *httpUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &httpUpstream{Listener: l}
	server := &http.Server{ReadHeaderTimeout: testTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.mu.Lock()
		header := r.Header.Clone()
		header.Set("Path", r.URL.Path)
		u.seen = append(u.seen, header)
		u.mu.Unlock()
		w.Header().Set(kqupstream.HeaderWorkID, r.Header.Get(kqupstream.HeaderWorkID))
		handler(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	a := fmt.Sprintf(`{"service":%q,"version":"v1","address":%q,"slots":%d}`, service, l.Addr(), httpUpstreamSlots)
	announce := func() {
		resp, err := http.Post("http://"+string(s.Node.LocalAddress())+"/kq/announce", "application/json", strings.NewReader(a))
		if err == nil {
			_ = resp.Body.Close()
		}
	}
	announce()
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
				announce()
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-done })
	return u
}

// exchange sends a request byte for byte as given and reads the response.
func exchange(t *testing.T, to kqname.Address, request string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", string(to))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	go func() { _, _ = io.WriteString(c, request) }()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("read response to %.40q: %v", request, err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// Guards against accepting this project's headers, in upper or lower case, from outside
// callers and upstreams. A caller could pass for another one or reach a version that is
// still being rolled out; an upstream's failure could be taken for a call that did not run,
// and be retried.
func TestForgedHeadersAreStripped(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 0, 0, 0)
	u := startHTTPUpstream(t, s.front, "store", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("kq-result", "not_run")
		w.Header().Set("KQ-REASON", "queue_full")
		w.Header().Set("Kq-Load", "0;0;1000;1")
		fmt.Fprint(w, r.URL.Path)
	})
	poll(t, "the upstream is known", func() bool {
		o, err := s.send(http.MethodGet, "warm")
		return err == nil && o.Reason != kqcall.NoUpstream
	})
	// The forged call header holds id, caller, route, service, version, class, flags,
	// remaining time in microseconds and depth. It lacks the origin and the target that
	// kqcall also writes.
	response := exchange(t, s.front.Node.EntryAddress(), "POST /a HTTP/1.1\r\nHost: store\r\nContent-Length: 0\r\n"+
		"kQ-cAlL: x;someone;store;store;v9;critical;i;r;99000000;0\r\nKq-Depth: 7\r\nkq-version: v9\r\nKq-Anything: 1\r\n\r\n")
	if response.StatusCode != http.StatusOK || response.Header.Get(kqcall.HeaderResult) != string(kqcall.Answered) ||
		response.Header.Get(kqcall.HeaderReason) != "" || response.Header.Get("Kq-Load") != "" {
		t.Errorf("caller got status %d and headers %v", response.StatusCode, response.Header)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	last := u.seen[len(u.seen)-1]
	for name := range last {
		if strings.HasPrefix(name, "Kq-") && name != kqcall.HeaderID && name != kqcall.HeaderTimeout && name != kqcall.HeaderDepth {
			t.Errorf("the upstream got header %s: %v", name, last[name])
		}
	}
	if last.Get(kqcall.HeaderDepth) != "0" || last.Get(kqcall.HeaderID) == "x" {
		t.Errorf("the upstream got headers %v, want depth 0 and a new call id", last)
	}
}

// Guards against closing the connection without a response to a request that is too large,
// cannot be parsed or has no route. It reaches no upstream, so its caller must get "not
// run" and the reason.
func TestUnreadableCallsAreReportedNotRun(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 0, 0, 0)
	for name, c := range map[string]struct {
		request string
		status  int
		reason  kqcall.Reason
	}{
		"large body": {"POST /a HTTP/1.1\r\nHost: store\r\nContent-Length: 99000000\r\n\r\n", http.StatusRequestEntityTooLarge, kqcall.TooLarge},
		"large head": {"GET /a HTTP/1.1\r\nHost: store\r\nX: " + strings.Repeat("x", 40000) + "\r\n\r\n", http.StatusRequestEntityTooLarge, kqcall.TooLarge},
		"not HTTP":   {"NONSENSE\r\n\r\n", http.StatusBadRequest, kqcall.Malformed},
		"no route":   {"GET /a HTTP/1.1\r\nHost: nowhere\r\n\r\n", http.StatusNotFound, kqcall.NoRoute},
	} {
		response := exchange(t, s.front.Node.EntryAddress(), c.request)
		if response.StatusCode != c.status || response.Header.Get(kqcall.HeaderResult) != string(kqcall.NotRun) ||
			response.Header.Get(kqcall.HeaderReason) != string(c.reason) {
			t.Errorf("%s: got status %d and headers %v", name, response.StatusCode, response.Header)
		}
	}
}

// Guards against holding slots for disconnected callers. Several callers disconnect while
// their calls run at another node's upstream, and one while its call waits in the queue
// there. The upstream must see the running calls cancelled, and the waiting call must never
// run.
func TestCallersWhoLeaveFreeTheirPlaces(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 0, 0, 0)
	server := s.start(t, kqfleet.Spec{Node: "back", Domain: "one", Region: "one"})
	var disconnects atomic.Int32
	u := startHTTPUpstream(t, server, "store", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			<-r.Context().Done()
			disconnects.Add(1)
			return
		}
		fmt.Fprint(w, r.URL.Path)
	})
	poll(t, "the upstream is known", func() bool {
		o, err := s.send(http.MethodGet, "warm")
		return err == nil && o.Result == kqcall.Answered
	})
	var running []net.Conn
	for range httpUpstreamSlots {
		running = append(running, s.sendUnread(t, "/long"))
	}
	poll(t, "every slot is taken", func() bool { return u.count("/long") == httpUpstreamSlots })
	waiting := s.sendUnread(t, "/waits")
	_ = waiting.Close()
	poll(t, "the waiting call is cancelled", func() bool { return countCancelled(t, s.front) == 1 })
	for _, c := range running {
		_ = c.Close()
	}
	poll(t, "the upstream sees its callers' disconnects", func() bool { return disconnects.Load() == httpUpstreamSlots })
	poll(t, "the slots are free", func() bool {
		o, err := s.send(http.MethodGet, "after")
		return err == nil && o.Result == kqcall.Answered
	})
	if n := u.count("/waits"); n != 0 {
		t.Errorf("the call of the disconnected caller ran %d times", n)
	}
}

// sendUnread sends a call and does not read its response.
func (s *testFleet) sendUnread(t *testing.T, path string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", string(s.front.Node.EntryAddress()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: store\r\nContent-Length: 0\r\n\r\n", path)
	return c
}

// count returns how many requests for the path the upstream got.
func (u *httpUpstream) count(path string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, h := range u.seen {
		if h.Get("Path") == path {
			n++
		}
	}
	return n
}

// countCancelled returns how many calls the server's entry counted as cancelled.
func countCancelled(t *testing.T, s *kqfleet.Server) int {
	t.Helper()
	families, err := s.Node.Metrics().Registry().Gather()
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, f := range families {
		if f.GetName() != "kumquatgw_calls_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if l.GetValue() == string(kqcall.Cancelled) {
					n += int(m.GetCounter().GetValue())
				}
			}
		}
	}
	return n
}
