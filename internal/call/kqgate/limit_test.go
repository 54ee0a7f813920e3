package kqgate_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// limitingUpstream names a limit in its answers.
type limitingUpstream struct {
	server *httptest.Server
	// header is the value of the limit's header, "" for none, and status that of answers.
	header atomic.Value
	status atomic.Int64
	work   time.Duration
	mu     sync.Mutex
	calls  int
}

func newLimitingUpstream(t *testing.T) *limitingUpstream {
	t.Helper()
	u := &limitingUpstream{}
	u.header.Store("")
	u.status.Store(http.StatusOK)
	u.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		u.mu.Lock()
		u.calls++
		u.mu.Unlock()
		time.Sleep(u.work)
		if limit, _ := u.header.Load().(string); limit != "" {
			w.Header().Set(kqcall.HeaderLimit, limit)
		}
		w.WriteHeader(int(u.status.Load()))
		fmt.Fprint(w, "ran")
	}))
	t.Cleanup(u.server.Close)
	return u
}

// announce returns the local upstreams, of which this is the only one, of the given start.
func (u *limitingUpstream) announce(t *testing.T, instance kqname.Instance, startedMS int64) *kqlocal.Upstreams {
	t.Helper()
	local := kqlocal.New(time.Minute, func([]kqmember.Upstream) {})
	u.announceTo(t, local, instance, startedMS)
	return local
}

func (u *limitingUpstream) announceTo(t *testing.T, local *kqlocal.Upstreams, instance kqname.Instance, startedMS int64) {
	t.Helper()
	a := kqlocal.Announcement{Service: "store", Version: "v1", Address: kqname.Address(u.server.Listener.Addr().String()), Slots: 8, Instance: instance, StartedMS: startedMS}
	if err := local.Announce(a, time.Now()); err != nil {
		t.Fatal(err)
	}
}

func (u *limitingUpstream) received() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.calls
}

// sendAll sends calls one after another and returns how many ended with each reason.
func sendAll(g *kqgate.Gate, n int, hint kqcall.Hint) map[kqcall.Reason]int {
	ended := make(map[kqcall.Reason]int)
	for range n {
		c := newCall("/")
		c.Hint = hint
		o, _ := g.Do(c)
		ended[o.Reason]++
	}
	return ended
}

// Guards against answers that are not read for the limit, and against refusals of calls that
// have run.
func TestEveryKindOfAnswerNamesTheLimit(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNoContent, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		u := newLimitingUpstream(t)
		u.header.Store("1")
		u.status.Store(int64(status))
		g := kqgate.New(u.announce(t, "i-1", 1))
		ended := sendAll(g, 20, kqcall.Hint{})
		if ended[kqcall.Limited] < 15 || u.received()+ended[kqcall.Limited] != 20 {
			t.Errorf("answers with status %d: calls ended as %v and %d were received, want most of 20 refused as limited", status, ended, u.received())
		}
	}
}

// Guards against a limit that is not heard any more: lifted, unreadable, or that of another
// start or upstream at the address.
func TestLimitHoldsForAsLongAsTheUpstreamNamesIt(t *testing.T) {
	u := newLimitingUpstream(t)
	local := u.announce(t, "i-1", 1)
	g := kqgate.New(local)
	u.header.Store("1")
	sendAll(g, 10, kqcall.Hint{})
	u.header.Store("many")
	time.Sleep(time.Second)
	if ended := sendAll(g, 10, kqcall.Hint{}); ended[kqcall.Limited] < 8 {
		t.Errorf("after a value that cannot be read, calls ended as %v, want the limit to hold", ended)
	}
	u.header.Store("")
	u.announceTo(t, local, "i-1", 2)
	if ended := sendAll(g, 10, kqcall.Hint{}); ended[kqcall.Limited] > 0 {
		t.Errorf("at the next start of the upstream, calls ended as %v, want none refused", ended)
	}
	u.header.Store("1")
	sendAll(g, 10, kqcall.Hint{})
	u.header.Store("")
	u.announceTo(t, local, "i-2", 3)
	if ended := sendAll(g, 10, kqcall.Hint{}); ended[kqcall.Limited] > 0 {
		t.Errorf("at another upstream at the address, calls ended as %v, want none refused", ended)
	}
}

// Guards against calls that had queued before the upstream named its limit and then reach it
// all the same.
func TestQueuedCallsKeepToANewLimit(t *testing.T) {
	u := newLimitingUpstream(t)
	u.work = 50 * time.Millisecond
	u.header.Store("2")
	g := kqgate.New(u.announce(t, "i-1", 1))
	var group conc.WaitGroup
	for range 60 {
		group.Go(func() { g.Do(newCall("/")) })
	}
	group.Wait()
	if got := u.received(); got > 8+3 {
		t.Errorf("%d of 60 calls were received, want the 8 that were sent before the first answer and at most 3 more", got)
	}
}

// Guards against a gate whose process starts anew beside an upstream that names a limit: the
// callers' nodes were told, and their calls count.
func TestRestartedGateLearnsTheLimitFromItsPeers(t *testing.T) {
	u := newLimitingUpstream(t)
	u.header.Store("2")
	u.work = 100 * time.Millisecond
	first := kqgate.New(u.announce(t, "i-1", 1))
	c := newCall("/")
	if o, _ := first.Do(c); o != kqcall.OK() || !c.Hint.Limited || c.Hint.Limit != 2 {
		t.Fatalf("call ended as %+v with hint %+v, want a limit of 2", o, c.Hint)
	}
	before := u.received()
	restarted := kqgate.New(u.announce(t, "i-1", 1))
	var group conc.WaitGroup
	for range 20 {
		group.Go(func() { sendAll(restarted, 1, c.Hint) })
	}
	group.Wait()
	if got := u.received() - before; got > 2 {
		t.Errorf("%d of 20 calls at once were received, want at most 2", got)
	}
	time.Sleep(time.Second)
	if ended := sendAll(restarted, 1, c.Hint); ended[kqcall.NoReason] != 1 {
		t.Errorf("a second later a call ended as %v, want it answered", ended)
	}
	other := kqgate.New(u.announce(t, "i-2", 5))
	if ended := sendAll(other, 1, c.Hint); ended[kqcall.NoReason] != 1 {
		t.Errorf("hint about an earlier upstream: calls ended as %v", ended)
	}
}

// Guards against callers who are told nothing, or to come back sooner than the upstream bears.
func TestLimitedCallIsToldWhenToComeBack(t *testing.T) {
	u := newLimitingUpstream(t)
	u.header.Store("0.5")
	g := kqgate.New(u.announce(t, "i-1", 1))
	sendAll(g, 5, kqcall.Hint{})
	began := time.Now()
	o, load := g.Do(newCall("/"))
	if o.Result != kqcall.NotRun || o.Reason != kqcall.Limited || o.RetryAfter < time.Second || time.Since(began) > 100*time.Millisecond {
		t.Errorf("call ended as %+v after %v, want a refusal at once with over a second to wait", o, time.Since(began))
	}
	if load.Waiting == 0 || load.Wait < time.Second {
		t.Errorf("load is %+v, want an upstream that has no place and a wait of over a second", load)
	}
}

// Guards against a limit that is forgotten while an upstream's announcements are late, so that
// it counts as gone for a moment.
func TestLimitOutlivesLateAnnouncements(t *testing.T) {
	u := newLimitingUpstream(t)
	u.header.Store("0.5")
	local := u.announce(t, "i-1", 1)
	g := kqgate.New(local)
	sendAll(g, 10, kqcall.Hint{})
	later := time.Now().Add(10 * time.Second)
	local.Sweep(later)
	for i := range 300 {
		later = later.Add(250 * time.Millisecond)
		local.Sweep(later)
		if i > 250 {
			g.Sweep(later)
		}
	}
	before := u.received()
	u.announceTo(t, local, "i-1", 1)
	var group conc.WaitGroup
	for range 20 {
		group.Go(func() { sendAll(g, 1, kqcall.Hint{}) })
	}
	group.Wait()
	if got := u.received() - before; got > 3 {
		t.Errorf("%d of 20 calls were received by an upstream that takes one in 2 s", got)
	}
}

// Guards against the late answer of an earlier start that ends the limit of the present one.
func TestAnswerOfAnEarlierStartKeepsTheLimit(t *testing.T) {
	u := newLimitingUpstream(t)
	u.work = 300 * time.Millisecond
	local := u.announce(t, "i-1", 1)
	g := kqgate.New(local)
	var group conc.WaitGroup
	group.Go(func() { sendAll(g, 1, kqcall.Hint{}) })
	time.Sleep(100 * time.Millisecond)
	u.announceTo(t, local, "i-1", 2)
	sendAll(g, 1, kqcall.Hint{Instance: "i-1", StartedMS: 2, Limited: true, Limit: 0.5})
	group.Wait()
	if ended := sendAll(g, 5, kqcall.Hint{}); ended[kqcall.Limited] < 4 {
		t.Errorf("calls ended as %v, want them refused as limited", ended)
	}
}
