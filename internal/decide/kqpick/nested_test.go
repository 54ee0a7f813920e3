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
// upstream in the own failure domain answers lookups in 60 ms, well within their target of
// 120 ms, and one in another domain in 20 ms. Staying in the own domain would cost a
// quarter of the capacity. The test keeps six slots in use for 20 s and counts the runs.
func TestNestedCallsUseFasterRemoteUpstream(t *testing.T) {
	const (
		slots, duration, ownWork         = 6, 20 * time.Second, 100 * time.Millisecond
		localWork, remoteWork, roundTrip = 60 * time.Millisecond, 20 * time.Millisecond, time.Millisecond
		runsPerSlot                      = duration / (ownWork + remoteWork + roundTrip)
	)
	start := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 8))
	p := newPool(start, []kqname.Domain{"here", "there"}, localWork, remoteWork)
	criteria := kqpick.Criteria{Route: "lookup", ComfortableLatency: kqpick.ComfortableLatency(120*time.Millisecond, true)}
	runs := 0
	freeAt := [slots]time.Time{}
	for i := range freeAt {
		freeAt[i] = start
	}
	for {
		next := 0
		for i := range freeAt {
			if freeAt[i].Before(freeAt[next]) {
				next = i
			}
		}
		now := freeAt[next]
		if now.Sub(start) >= duration {
			break
		}
		o := p.Pick(criteria, nil, now, random)
		took := localWork
		if o.Node == "1" {
			took = remoteWork
		}
		p.Done(o, kqcall.OK(), false, &kqcall.Load{Slots: 6, RecentDuration: took, Route: "lookup", ExpectedWork: took}, now)
		if o.Node == "1" {
			took += roundTrip
		}
		freeAt[next] = now.Add(ownWork + took)
		runs++
	}
	if capacity := slots * int(runsPerSlot); runs < capacity*95/100 {
		t.Errorf("%d runs in %v, want 95%% of the capacity of %d", runs, duration, capacity)
	}
}

// A call from outside holds no slot while it waits: it stays in its own domain while that
// meets the latency target, so that its answer does not cross between domains.
func TestOuterCallsStayInOwnDomain(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 9))
	p := newPool(now, []kqname.Domain{"here", "there"}, 60*time.Millisecond, 20*time.Millisecond)
	criteria := kqpick.Criteria{ComfortableLatency: kqpick.ComfortableLatency(120*time.Millisecond, false)}
	for range 20 {
		o := p.Pick(criteria, nil, now, random)
		if o.Node != "0" {
			t.Fatalf("went to %s, want the local upstream", o.Node)
		}
		p.Done(o, kqcall.OK(), false, &kqcall.Load{Slots: 6, RecentDuration: 60 * time.Millisecond}, now)
	}
}
