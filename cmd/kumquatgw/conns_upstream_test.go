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

// fullUpstream serves so many connections at once and resets further ones.
type fullUpstream struct {
	net.Listener
	t    *testing.T
	node string

	mu           sync.Mutex
	open, resets int
	runs         map[string]int
	gone         map[string]bool
}

func newFullUpstream(t *testing.T, node string, most, slots int) *fullUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &fullUpstream{Listener: l, t: t, node: node, runs: make(map[string]int), gone: make(map[string]bool)}
	var group sync.WaitGroup
	stop := make(chan struct{})
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if !u.take(most) {
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

func (u *fullUpstream) announce(slots int) {
	body, err := json.Marshal(kqlocal.Announcement{Service: "store", Version: "v1", Address: kqname.Address(u.Addr().String()), Slots: slots})
	if err != nil {
		return
	}
	client := http.Client{Timeout: time.Second}
	if a, err := client.Post("http://"+u.node+"/kq/announce", "application/json", bytes.NewReader(body)); err == nil {
		_ = a.Body.Close()
	}
}

func (u *fullUpstream) take(most int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open >= most {
		u.resets++
		return false
	}
	u.open++
	return true
}

// serve answers one call after the other; "/long" runs until its connection is closed.
func (u *fullUpstream) serve(c net.Conn) {
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
		id := r.Header.Get(workHeader)
		u.mu.Lock()
		u.runs[id]++
		u.mu.Unlock()
		if r.URL.Path == "/long" {
			_, _ = in.ReadByte()
			u.mu.Lock()
			u.gone[id] = true
			u.mu.Unlock()
			return
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", workHeader, id, len(id), id)
	}
}

func (u *fullUpstream) saw(f func() bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return f()
}

// fullFleet is a fleet whose one upstream is full at so many connections, and announces
// so many slots.
func fullFleet(t *testing.T, most, slots int) (*fleet, *fullUpstream) {
	t.Helper()
	f := newFleet(t, "", "")
	f.upstream.Close()
	u := newFullUpstream(t, f.local, most, slots)
	for end := time.Now().Add(20 * time.Second); !u.saw(func() bool { return u.runs["known"] > 0 }); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the upstream is never used")
		}
		_, _ = work(f.entry, http.MethodGet, "/", "known")
	}
	return f, u
}

// work sends a call and returns its answer's status and text.
func work(entry, method, path, id string) (int, string) {
	q, err := http.NewRequest(method, "http://"+entry+path, http.NoBody)
	if err != nil {
		return 0, err.Error()
	}
	q.Host = "store"
	q.Header.Set(workHeader, id)
	a, err := (&http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	text, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(text)
}

// Guards against calls that are lost, or run twice, at an upstream that resets connections
// while it is full. One that announces no more than it takes is never found full; at any
// other a call may have been read before the reset, and its end is unknown.
func TestUpstreamThatResetsWhenFullLosesNoCall(t *testing.T) {
	const most = 3
	for _, slots := range []int{most, 2 * most} {
		t.Run(fmt.Sprintf("%d slots", slots), func(t *testing.T) {
			f, u := fullFleet(t, most, slots)
			var group sync.WaitGroup
			for caller := range 12 {
				group.Go(func() {
					for i := range 10 {
						id := fmt.Sprintf("full-%d-%d", caller, i)
						status, text := work(f.entry, http.MethodPost, "/", id)
						runs := 0
						u.saw(func() bool { runs = u.runs[id]; return true })
						switch {
						case status == http.StatusOK && text == id && runs == 1:
						case status == http.StatusServiceUnavailable && strings.HasPrefix(text, "not_run: ") && runs == 0:
						case status == http.StatusGatewayTimeout && strings.HasPrefix(text, "unknown: ") && runs <= 1 && slots > most:
						default:
							t.Errorf("%s: answer %d %q after %d runs", id, status, text, runs)
						}
					}
				})
			}
			group.Wait()
			u.saw(func() bool { t.Logf("%d connections were reset", u.resets); return true })
			if slots == most && u.saw(func() bool { return u.resets > 0 }) {
				t.Error("the upstream was sent more than it takes")
			}
			if slots > most && u.saw(func() bool { return u.resets == 0 }) {
				t.Error("the upstream was never full")
			}
		})
	}
}

// Guards against upstreams that go on working for callers who have closed their connection.
func TestUpstreamSeesItsCallerClose(t *testing.T) {
	f, u := fullFleet(t, 3, 3)
	for i := range 3 {
		id := fmt.Sprintf("long-%d", i)
		c, err := net.Dial("tcp", f.entry)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /long HTTP/1.1\r\nHost: store\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", workHeader, id)
		for end := time.Now().Add(10 * time.Second); !u.saw(func() bool { return u.runs[id] > 0 }); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s never ran", id)
			}
		}
		_ = c.Close()
		closed := time.Now()
		for !u.saw(func() bool { return u.gone[id] }) {
			if time.Since(closed) > 500*time.Millisecond*memoryFactor {
				t.Fatalf("%s is still at work %v after its caller closed", id, time.Since(closed))
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}
