package kqgate_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
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

// newLeavingUpstream starts an upstream with one slot that says that it leaves in each answer,
// and returns its announcement and the number of calls that it has got.
func newLeavingUpstream(t *testing.T, instance kqname.Instance) (kqlocal.Announcement, *atomic.Int64) {
	t.Helper()
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		time.Sleep(50 * time.Millisecond)
		w.Header().Set(kqcall.HeaderLeaving, "1")
		fmt.Fprint(w, "ran")
	}))
	t.Cleanup(server.Close)
	return kqlocal.Announcement{Service: "store", Version: "v1", Address: kqname.Address(server.Listener.Addr().String()), Slots: 1, Instance: instance, StartedMS: 1}, &calls
}

// newGateBeside returns a gate and the set that holds the announced upstream.
func newGateBeside(t *testing.T, a kqlocal.Announcement) (*kqgate.Gate, *kqlocal.Upstreams) {
	t.Helper()
	local := kqlocal.New(time.Minute, func([]kqmember.Upstream) {})
	if err := local.Announce(a, time.Now()); err != nil {
		t.Fatal(err)
	}
	return kqgate.New(local, kqgate.WithDeparture(local.Leave)), local
}

// Guards against calls that wait for an upstream while it says that it leaves, and reach it.
func TestQueuedCallsDoNotReachAnUpstreamThatLeaves(t *testing.T) {
	for _, instance := range []kqname.Instance{"i-1", ""} {
		a, calls := newLeavingUpstream(t, instance)
		g, _ := newGateBeside(t, a)
		var group conc.WaitGroup
		for range 20 {
			group.Go(func() {
				g.Do(newCall("/"))
				g.Sweep(time.Now())
			})
		}
		group.Wait()
		if n := calls.Load(); n > 2 {
			t.Errorf("instance %q: %d of 20 calls were received, want at most the one after the first answer", instance, n)
		}
	}
}

// Guards against an upstream that leaves by its answers alone and comes back into use with its
// next announcement, and against a replacement that does not.
func TestUpstreamThatLeavesStaysOutOfUse(t *testing.T) {
	a, calls := newLeavingUpstream(t, "i-1")
	g, local := newGateBeside(t, a)
	g.Do(newCall("/"))
	for sequence := range uint64(3) {
		a.Sequence = sequence + 2
		if err := local.Announce(a, time.Now().Add(time.Duration(sequence)*50*time.Second)); err != nil {
			t.Fatal(err)
		}
		g.Do(newCall("/"))
		local.Sweep(time.Now().Add(time.Duration(sequence) * 50 * time.Second))
	}
	if n := calls.Load(); n != 1 {
		t.Errorf("%d calls were received, want only the first", n)
	}
	a.StartedMS = 2
	if err := local.Announce(a, time.Now()); err != nil {
		t.Fatal(err)
	}
	if o, _ := g.Do(newCall("/")); o != kqcall.OK() {
		t.Errorf("call to the next start of the upstream ended as %+v", o)
	}
}

// Guards against a gate whose process starts anew beside an upstream that has said that it
// leaves, and has not said so again.
func TestRestartedGateLearnsOfDeparturesFromItsPeers(t *testing.T) {
	a, calls := newLeavingUpstream(t, "i-1")
	first, _ := newGateBeside(t, a)
	c := newCall("/")
	if first.Do(c); !c.Hint.Leaving {
		t.Fatalf("hint is %+v, want that the upstream leaves", c.Hint)
	}
	restarted, _ := newGateBeside(t, a)
	told := newCall("/")
	told.Hint = c.Hint
	if o, _ := restarted.Do(told); o.Result != kqcall.NotRun || o.Reason != kqcall.Draining || calls.Load() != 1 {
		t.Errorf("call ended as %+v and %d calls were received, want it refused as draining", o, calls.Load())
	}
}

// Guards against calls to an upstream whose health check alone has said that it leaves.
func TestHealthCheckTellsThatAnUpstreamLeaves(t *testing.T) {
	u := newFragileUpstream(t, withBound())
	u.leaving = true
	u.restart(0)
	u.coldUntil = time.Now()
	u.announce(t)
	var last kqcall.Outcome
	for range 3 * bears {
		last, _ = u.gate.Do(newCall("/"))
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.checks == 0 {
		t.Fatal("the upstream was not asked for its health")
	}
	if last.Reason != kqcall.Draining || len(u.calls) > bears+1 {
		t.Errorf("last call ended as %+v and %d calls were received, want refusals as draining from the first check on", last, len(u.calls))
	}
}
