package main_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// limitedUpstream is an upstream that serves a limited number of connections at once and
// resets further ones.
type limitedUpstream struct {
	net.Listener
	t *testing.T
	// announceAddress is the address at which the node takes announcements.
	announceAddress string

	mu sync.Mutex
	// open is the number of connections served, resets that of the rejected ones.
	open, resets int
	// runs counts the runs of each call; disconnected holds the calls to /long whose
	// connection was closed, got a further byte or was silent until its read deadline, 10 s
	// after it began to wait for the request.
	runs         map[string]int
	disconnected map[string]bool
}

// newLimitedUpstream starts an upstream that serves at most maxConns connections at once and
// announces slots slots to a node until the test ends.
func newLimitedUpstream(t *testing.T, announceAddress string, maxConns, slots int) *limitedUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &limitedUpstream{Listener: l, t: t, announceAddress: announceAddress, runs: make(map[string]int), disconnected: make(map[string]bool)}
	var group sync.WaitGroup
	stop := make(chan struct{})
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if !u.admit(maxConns) {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
				continue
			}
			group.Go(func() { u.serve(c) })
		}
	})
	group.Go(func() {
		for {
			u.announce(slots)
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	t.Cleanup(func() { close(stop); _ = l.Close(); group.Wait() })
	return u
}

func (u *limitedUpstream) announce(slots int) {
	body, err := json.Marshal(kqlocal.Announcement{Service: "store", Version: "v1", Address: kqname.Address(u.Addr().String()), Slots: slots})
	if err != nil {
		return
	}
	client := http.Client{Timeout: time.Second}
	if a, err := client.Post("http://"+u.announceAddress+"/kq/announce", "application/json", bytes.NewReader(body)); err == nil {
		_ = a.Body.Close()
	}
}

// admit reports whether a further connection is served, and counts it.
func (u *limitedUpstream) admit(maxConns int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open >= maxConns {
		u.resets++
		return false
	}
	u.open++
	return true
}

// serve answers the calls of one connection. A call to /long runs until the connection is
// closed or sends a further byte, at most until its read deadline, and gets no response.
func (u *limitedUpstream) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		u.mu.Lock()
		defer u.mu.Unlock()
		u.open--
	}()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(callIDHeader)
		u.mu.Lock()
		u.runs[id]++
		u.mu.Unlock()
		if r.URL.Path == "/long" {
			_, _ = in.ReadByte()
			u.mu.Lock()
			u.disconnected[id] = true
			u.mu.Unlock()
			return
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", callIDHeader, id, len(id), id)
	}
}

// withLock returns the result of f, which it calls with the lock held.
func (u *limitedUpstream) withLock(f func() bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return f()
}

// newLimitedFleet starts a fleet and replaces its upstream by one that serves at most
// maxConns connections at once and announces slots slots. The first upstream's server is
// closed but still announced, so that the node now and then fails to connect to it.
func newLimitedFleet(t *testing.T, maxConns, slots int) (*fleet, *limitedUpstream) {
	t.Helper()
	f := newFleet(t, "", "")
	f.upstream.Close()
	u := newLimitedUpstream(t, f.local, maxConns, slots)
	for end := time.Now().Add(20 * time.Second); !u.withLock(func() bool { return u.runs["probe"] > 0 }); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no call reached the upstream within 20 s")
		}
		_, _ = sendCall(f.entry, http.MethodGet, "/", "probe")
	}
	return f, u
}

// sendCall sends a call and returns the status and body of the response, or 0 and the
// error.
func sendCall(entry, method, path, id string) (int, string) {
	q, err := http.NewRequest(method, "http://"+entry+path, http.NoBody)
	if err != nil {
		return 0, err.Error()
	}
	q.Host = "store"
	q.Header.Set(callIDHeader, id)
	a, err := (&http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	text, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(text)
}

// Guards against calls that are lost or run twice at an upstream that resets connections
// while it is full. If it announces no more slots than it serves connections, it must
// never get more connections and so never reset one. If it announces more, it must reset
// some; the node cannot tell whether such a call was read, and may report its outcome as
// unknown.
func TestUpstreamThatResetsWhenFullLosesNoCall(t *testing.T) {
	const maxConns = 3
	for _, slots := range []int{maxConns, 2 * maxConns} {
		t.Run(fmt.Sprintf("%d slots", slots), func(t *testing.T) {
			f, u := newLimitedFleet(t, maxConns, slots)
			var group sync.WaitGroup
			for caller := range 12 {
				group.Go(func() {
					for i := range 10 {
						id := fmt.Sprintf("full-%d-%d", caller, i)
						status, text := sendCall(f.entry, http.MethodPost, "/", id)
						runs := 0
						u.withLock(func() bool { runs = u.runs[id]; return true })
						switch {
						case status == http.StatusOK && text == id && runs == 1:
						case status == http.StatusServiceUnavailable && strings.HasPrefix(text, "not_run: ") && runs == 0:
						case status == http.StatusGatewayTimeout && strings.HasPrefix(text, "unknown: ") && runs <= 1 && slots > maxConns:
						default:
							t.Errorf("%s: response %d %q after %d runs", id, status, text, runs)
						}
					}
				})
			}
			group.Wait()
			u.withLock(func() bool { t.Logf("%d connections were reset", u.resets); return true })
			if slots == maxConns && u.withLock(func() bool { return u.resets > 0 }) {
				t.Error("the upstream got more connections than it serves")
			}
			if slots > maxConns && u.withLock(func() bool { return u.resets == 0 }) {
				t.Error("the upstream reset no connection")
			}
		})
	}
}

// Guards against upstreams that keep processing calls whose callers have disconnected. The
// node must close its connection to the upstream soon after the caller's.
func TestUpstreamSeesItsCallerDisconnect(t *testing.T) {
	f, u := newLimitedFleet(t, 3, 3)
	for i := range 3 {
		id := fmt.Sprintf("long-%d", i)
		c, err := net.Dial("tcp", f.entry)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /long HTTP/1.1\r\nHost: store\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", callIDHeader, id)
		for end := time.Now().Add(10 * time.Second); !u.withLock(func() bool { return u.runs[id] > 0 }); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s never ran", id)
			}
		}
		_ = c.Close()
		closed := time.Now()
		for !u.withLock(func() bool { return u.disconnected[id] }) {
			if time.Since(closed) > 500*time.Millisecond*raceFactor {
				t.Fatalf("%s still runs %v after its caller disconnected", id, time.Since(closed))
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}
