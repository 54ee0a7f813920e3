package kqgate_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	coldFor  = 1500 * time.Millisecond
	downFor  = 200 * time.Millisecond
	bears    = 30
	coldPath = "/health"
)

// fragileUpstream is cold after each start and whenever coolDown says so. While cold it
// crashes if it gets more than bears calls within a second, and starts again after downFor.
type fragileUpstream struct {
	server *httptest.Server
	local  *kqlocal.Upstreams
	gate   *kqgate.Gate

	mu        sync.Mutex
	start     int64
	coldUntil time.Time
	downUntil time.Time
	calls     []time.Time
	crashes   int
	checks    int
	// leaving makes health checks say that the upstream leaves.
	leaving  bool
	sequence uint64
	// health replaces the answers to health checks, byte for byte, unless it is empty.
	health string
}

func newFragileUpstream(t *testing.T, options ...kqgate.Option) *fragileUpstream {
	t.Helper()
	u := &fragileUpstream{local: kqlocal.New(time.Minute, func([]kqmember.Upstream) {})}
	u.server = httptest.NewServer(http.HandlerFunc(u.serve))
	t.Cleanup(u.server.Close)
	u.gate = kqgate.New(u.local, options...)
	return u
}

func withBound() kqgate.Option {
	return kqgate.WithColdStart(func(*kqcall.Call) kqgate.ColdStart {
		return kqgate.ColdStart{Bound: bears, Duration: coldFor, HealthPath: coldPath}
	})
}

// restart starts the upstream anew, cold, and announces it unless it is still down.
func (u *fragileUpstream) restart(down time.Duration) {
	now := time.Now()
	u.start++
	u.downUntil, u.calls = now.Add(down), nil
	u.coldUntil = u.downUntil.Add(coldFor)
}

// announce announces the upstream as it is.
func (u *fragileUpstream) announce(t *testing.T) {
	t.Helper()
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Now().Before(u.downUntil) {
		return
	}
	u.sequence++
	err := u.local.Announce(kqlocal.Announcement{
		Service: "store", Version: "v1", Address: kqname.Address(u.server.Listener.Addr().String()), Slots: 6,
		Instance: "one", StartedMS: u.start, Sequence: u.sequence, WarmUpLeft: max(time.Until(u.coldUntil), 0),
	}, time.Now())
	if err != nil {
		t.Error(err)
	}
}

// coolDown makes the upstream cold without a restart or a word.
func (u *fragileUpstream) coolDown() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.coldUntil, u.calls = time.Now().Add(coldFor), nil
}

func (u *fragileUpstream) serve(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if now.Before(u.downUntil) {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == coldPath {
		u.checks++
		if u.health != "" {
			u.sendHealth(w)
			return
		}
		w.Header().Set(kqcall.HeaderInstance, "one")
		if u.leaving {
			w.Header().Set(kqcall.HeaderLeaving, "1")
		}
		w.Header().Set(kqcall.HeaderCold, strconv.FormatInt(max(u.coldUntil.Sub(now), 0).Milliseconds(), 10))
		return
	}
	u.calls = append(u.calls, now)
	for now.Sub(u.calls[0]) > time.Second {
		u.calls = u.calls[1:]
	}
	if now.Before(u.coldUntil) && len(u.calls) > bears {
		u.crashes++
		u.restart(downFor)
		panic(http.ErrAbortHandler)
	}
}

// sendHealth answers a health check with the bytes that replace it.
func (u *fragileUpstream) sendHealth(w http.ResponseWriter) {
	if conn, buffer, err := w.(http.Hijacker).Hijack(); err == nil {
		_, _ = buffer.WriteString(u.health)
		_ = buffer.Flush()
		_ = conn.Close()
	}
}

// load sends 100 calls a second for the given time, with an announcement after each fourth
// of a second, and returns how many of them were answered.
func (u *fragileUpstream) load(t *testing.T, duration time.Duration) (answered, sent int) {
	t.Helper()
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range int(duration / (10 * time.Millisecond)) {
		if i%25 == 0 {
			u.announce(t)
		}
		group.Go(func() {
			o, _ := u.gate.Do(newCall("/"))
			mu.Lock()
			defer mu.Unlock()
			sent++
			if o.Result == kqcall.Answered {
				answered++
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	return answered, sent
}

// Guards against a loop that feeds itself: a cold upstream crashes under the usual load, comes
// back cold and crashes again.
func TestColdUpstreamComesBack(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		options []kqgate.Option
		isLoop  bool
	}{"bounded": {[]kqgate.Option{withBound()}, false}, "unbounded": {nil, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := newFragileUpstream(t, c.options...)
			u.restart(0)
			u.load(t, coldFor+time.Second)
			answered, sent := u.load(t, time.Second)
			if loop := u.crashes > 1 && answered < sent; loop != c.isLoop {
				t.Errorf("%d crashes, %d of %d calls answered at the end, want a loop: %t", u.crashes, answered, sent, c.isLoop)
			}
		})
	}
}

// Guards against an upstream that becomes cold between two announcements and crashes before
// the next one tells.
func TestUpstreamThatBecomesColdUnnoticedDoesNotCrash(t *testing.T) {
	t.Parallel()
	u := newFragileUpstream(t, withBound())
	u.start = 1
	if answered, sent := u.load(t, 2*time.Second); answered < sent-5 {
		t.Errorf("%d of %d calls answered while the upstream is warm", answered, sent)
	}
	if u.checks > 20 {
		t.Errorf("%d health checks for 200 calls", u.checks)
	}
	u.coolDown()
	u.load(t, coldFor)
	if u.crashes > 0 {
		t.Errorf("%d crashes, want none", u.crashes)
	}
}

// Guards against twice the bound in one second around the start of a process that takes the
// place of another one.
func TestRestartedGateKeepsToTheBound(t *testing.T) {
	t.Parallel()
	u := newFragileUpstream(t, withBound())
	u.restart(0)
	u.load(t, 600*time.Millisecond)
	u.gate = kqgate.New(u.local, withBound())
	u.load(t, 600*time.Millisecond)
	if u.crashes > 0 {
		t.Errorf("%d crashes, want none", u.crashes)
	}
}

// Guards against a restarted node that takes a recovered upstream for warm, beside which the
// earlier process has just sent what it bears.
func TestRecoveredUpstreamIsNotTakenForWarm(t *testing.T) {
	t.Parallel()
	u := newFragileUpstream(t, withBound())
	u.restart(0)
	u.load(t, 600*time.Millisecond)
	recovered := u.local.Announcements()[0]
	recovered.Sequence, recovered.WarmUpLeft = 0, 0
	u.local = kqlocal.New(time.Minute, func([]kqmember.Upstream) {})
	u.gate = kqgate.New(u.local, withBound())
	if err := u.local.Recover(recovered, time.Now()); err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	for range 60 {
		group.Go(func() { u.gate.Do(newCall("/")) })
		time.Sleep(5 * time.Millisecond)
	}
	group.Wait()
	if u.crashes > 0 {
		t.Errorf("%d crashes, want none", u.crashes)
	}
}

// Guards against a malformed answer to a health check by which a cold upstream counts as warm.
func TestMalformedHealthChecksProveNothing(t *testing.T) {
	t.Parallel()
	for name, health := range map[string]string{
		"status": "HTTP/1.1 000 OK\r\nKq-Instance: one\r\nContent-Length: 0\r\n\r\n",
		"length": "HTTP/1.1 200 OK\r\nKq-Instance: one\r\nContent-Length: 0\r\nContent-Length: 2\r\n\r\nok",
		"name":   "HTTP/1.1 200 OK\r\nKq-Instance: one\r\nKq-Cold-Ms : 1500\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := newFragileUpstream(t, withBound())
			u.start, u.health = 1, health
			u.announce(t)
			u.coolDown()
			var group sync.WaitGroup
			for range 100 {
				group.Go(func() { u.gate.Do(newCall("/")) })
				time.Sleep(5 * time.Millisecond)
			}
			group.Wait()
			if u.crashes > 0 || u.checks == 0 {
				t.Errorf("%d crashes after %d health checks, want none", u.crashes, u.checks)
			}
		})
	}
}
