package kqpick_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Under overload, each call holds its slot for 100 ms of work and one nested lookup. The
// local upstream answers lookups in 60 ms, well within their target of 120 ms, and one in
// another domain in 20 ms. Staying local would cost the capacity for every fourth caller.
// The test keeps six slots in use for 20 s and counts the runs.
func TestNestedCallsUseFasterRemoteUpstream(t *testing.T) {
	const (
		slots, lasts, own = 6, 20 * time.Second, 100 * time.Millisecond
		near, far, way    = 60 * time.Millisecond, 20 * time.Millisecond, time.Millisecond
		most              = lasts / (own + far + way)
	)
	start := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 8))
	p := newPool(start, []kqname.Domain{"here", "there"}, near, far)
	target := kqpick.Target{Route: "lookup", Ample: kqpick.Ample(120*time.Millisecond, true)}
	runs := 0
	free := [slots]time.Time{}
	for i := range free {
		free[i] = start
	}
	for {
		next := 0
		for i := range free {
			if free[i].Before(free[next]) {
				next = i
			}
		}
		now := free[next]
		if now.Sub(start) >= lasts {
			break
		}
		o := p.Pick(target, nil, now, random)
		took := near
		if o.Node == "1" {
			took = far
		}
		p.Done(o, kqcall.OK(), false, &kqcall.Load{Slots: 6, Work: took, Route: "lookup", Expected: took}, now)
		if o.Node == "1" {
			took += way
		}
		free[next] = now.Add(own + took)
		runs++
	}
	if possible := slots * int(most); runs < possible*95/100 {
		t.Errorf("%d runs in %v, want 95%% of the capacity of %d", runs, lasts, possible)
	}
}

// A call from outside holds no slot while it waits: it stays in its own domain while that
// meets the target, so that its answer does not cross between domains.
func TestOuterCallsStayInOwnDomain(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 9))
	p := newPool(now, []kqname.Domain{"here", "there"}, 60*time.Millisecond, 20*time.Millisecond)
	target := kqpick.Target{Ample: kqpick.Ample(120*time.Millisecond, false)}
	for range 20 {
		o := p.Pick(target, nil, now, random)
		if o.Node != "0" {
			t.Fatalf("went to %s, want the local upstream", o.Node)
		}
		p.Done(o, kqcall.OK(), false, &kqcall.Load{Slots: 6, Work: 60 * time.Millisecond}, now)
	}
}
