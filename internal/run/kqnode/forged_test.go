package kqnode_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqview"
	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// A caller from outside sets the internal headers of nodes, to gain priority, to pose as
// another caller, to have no deadline or to reach another service. Its call must be served
// exactly like one without them, and be counted.
func TestForgedHeaders(t *testing.T) {
	s := newTLSFleet(t)
	front, back := s.start(t, "front", ""), s.start(t, "back", "")
	s.commit(t)
	var mu sync.Mutex
	var seen map[string]string
	upstream := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		seen = make(map[string]string)
		for name := range r.Header {
			seen[name] = r.Header.Get(name)
		}
	}))
	t.Cleanup(upstream.Close)
	keepAnnouncing(t, back.Node.LocalAddress(), kqname.Address(strings.TrimPrefix(upstream.URL, "http://")))
	call := func(forged map[string]string) (int, map[string]string) {
		q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+string(front.Node.EntryAddress())+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		q.Host = "store"
		for name, value := range forged {
			q.Header[name] = []string{value}
		}
		a, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		_ = a.Body.Close()
		mu.Lock()
		defer mu.Unlock()
		got := maps.Clone(seen)
		// These two headers differ from call to call.
		delete(got, kqcall.HeaderID)
		delete(got, kqcall.HeaderTimeout)
		return a.StatusCode, got
	}
	await(t, "plain calls are answered", func() bool { status, _ := call(nil); return status == http.StatusOK })
	_, want := call(nil)
	status, got := call(map[string]string{
		"Kq-Call-Id": "mine", "kq-call": "a;b;c;d;e;f;g;h;i;j", "KQ-DEPTH": "31", "Kq-Timeout-Ms": "1",
		"Kq-Result": "answered", "Kq-Class": "critical", "Kq-Made-Up": "x",
	})
	if status != http.StatusOK || !maps.Equal(got, want) {
		t.Errorf("status %d, the upstream sees %v with forged headers and %v without", status, got, want)
	}
	if n := counterValue(t, front, "kumquatgw_forged_headers_total"); n != 1 {
		t.Errorf("counted %v calls with forged headers, want 1", n)
	}
}

// keepAnnouncing announces an upstream of the service "store" to a node until the test
// ends.
func keepAnnouncing(t *testing.T, node, upstream kqname.Address) {
	t.Helper()
	body, err := json.Marshal(kqlocal.Announcement{Service: "store", Version: "v1", Address: upstream, Slots: 4})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() {
		for ctx.Err() == nil {
			if a, err := http.Post("http://"+string(node)+"/kq/announce", "application/json", bytes.NewReader(body)); err == nil {
				_ = a.Body.Close()
			}
			select {
			case <-ctx.Done():
			case <-time.After(200 * time.Millisecond):
			}
		}
	})
	t.Cleanup(func() { stop(); group.Wait() })
}

// A caller holds an entry's connection by not finishing its headers. It must get a 408
// answer with the reason too_slow, its call must be counted, and other callers must be
// served.
func TestSlowHeadersAtTheEntry(t *testing.T) {
	s := newTLSFleet(t)
	front := s.start(t, "front", "store")
	s.commit(t)
	conn, err := net.Dial("tcp", string(front.Node.EntryAddress()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: store\r\nX-Slow: ")
	_ = conn.SetReadDeadline(time.Now().Add(awaitTimeout))
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("read refusal: %v", err)
	}
	_ = a.Body.Close()
	if a.StatusCode != http.StatusRequestTimeout || a.Header.Get(kqcall.HeaderReason) != string(kqcall.TooSlow) {
		t.Errorf("status %d, reason %q; want 408, too_slow", a.StatusCode, a.Header.Get(kqcall.HeaderReason))
	}
	if n := counterValue(t, front, "kumquatgw_calls_total"); n != 1 {
		t.Errorf("counted %v calls, want 1", n)
	}
	await(t, "others are served", func() bool {
		return getStatus(t.Context(), "http://"+string(front.Node.EntryAddress())+"/") == http.StatusOK
	})
}

// A caller disconnects during a call that runs on another server. Over TLS, the gate reads
// the entry's close as bytes and not as an end of the stream. It must still detect the
// disconnect and count the call as cancelled, and not let the upstream work on in vain.
func TestDisconnectIsDetectedOverTLS(t *testing.T) {
	s := newTLSFleet(t)
	front, back := s.start(t, "front", ""), s.start(t, "back", "store")
	s.commit(t)
	url := "http://" + string(front.Node.EntryAddress()) + "/"
	await(t, "calls are answered", func() bool { return getStatus(t.Context(), url) == http.StatusOK })
	before := back.Upstream.Runs()[""]
	back.Upstream.SetBehaviour(kqupstream.Behaviour{Work: 2 * time.Second})
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { getStatus(ctx, url) })
	await(t, "the call runs", func() bool { return back.Upstream.Runs()[""] > before })
	cancel()
	group.Wait()
	await(t, "the gate counts it cancelled", func() bool {
		r, err := back.Node.Report(t.Context(), "back")
		return err == nil && slices.ContainsFunc(r.Counts, func(c kqview.Count) bool {
			return c.Name == "gate_calls" && strings.Contains(c.Reason, string(kqcall.Cancelled))
		})
	})
}
