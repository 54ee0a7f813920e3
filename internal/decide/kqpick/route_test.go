package kqpick_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// After a restart, the first calls that an upstream answers are probes of 2 ms. By its
// recent work for any route it looks 90 times faster than the others, and all entries would
// send it calls that it refuses while the others are idle. The gate's report for the route
// must count instead.
func TestFastProbesDoNotAttractOtherCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 5))
	p := newPool(now, []kqname.Domain{"x", "x"}, 2*time.Millisecond, 180*time.Millisecond)
	criteria := kqpick.Criteria{Route: "browse"}
	report := func(wait time.Duration) {
		for range 2 {
			o := p.Pick(criteria, nil, now, random)
			load := kqcall.Load{Slots: 6, Route: "browse", RecentDuration: 180 * time.Millisecond, ExpectedWork: 180 * time.Millisecond}
			if o.Node == "0" {
				load.RecentDuration, load.Wait, load.Running, load.Waiting = 2*time.Millisecond, wait, 6, 5
			}
			p.Done(o, kqcall.OK(), false, &load, now)
		}
	}
	report(150 * time.Millisecond)
	counts := make(map[kqname.Node]int)
	for range 100 {
		o := p.Pick(criteria, nil, now, random)
		counts[o.Node]++
		p.Done(o, kqcall.OK(), false, &kqcall.Load{Slots: 6, Route: "browse", RecentDuration: 180 * time.Millisecond, ExpectedWork: 180 * time.Millisecond}, now)
	}
	if counts["0"] > 10 {
		t.Errorf("%d of 100 calls went to the upstream with a queue, want at most 10", counts["0"])
	}
}

// The upstream in the own failure domain mostly answers lookups of 20 ms; the route's calls
// take 350 ms there, and wait as long. Estimated from its lookups, it would get all calls
// of its failure domain until it refuses them, while others have free slots.
func TestLocalUpstreamIsEstimatedByRoute(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 6))
	p := newPool(now, []kqname.Domain{"here", "there"}, 20*time.Millisecond, 20*time.Millisecond)
	criteria := kqpick.Criteria{Route: "enrolments", ComfortableLatency: 320 * time.Millisecond}
	for range 10 {
		o := p.Pick(criteria, nil, now, random)
		load := kqcall.Load{Slots: 6, Route: "enrolments", RecentDuration: 20 * time.Millisecond, ExpectedWork: 350 * time.Millisecond}
		if o.Node == "0" {
			load.Running, load.Waiting, load.Wait = 6, 6, 350*time.Millisecond
		}
		p.Done(o, kqcall.OK(), false, &load, now)
	}
	o := p.Pick(criteria, nil, now, random)
	if o.Node != "1" {
		t.Errorf("went to %s, want the upstream with free slots", o.Node)
	}
}

// The fastest of three upstreams has run only orders of 120 ms, and no lookup. If lookups
// were expected to take 120 ms there, it would get none while the others are faster,
// although their slots are all in use and it has four of six free. Lookups must be tried
// there, and most must go there once it reports that they take 15 ms.
func TestUnreportedRouteUsesWorkOfOtherUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 7))
	p := newPool(now, []kqname.Domain{"x", "x", "x"}, 120*time.Millisecond, 30*time.Millisecond, 30*time.Millisecond)
	report := func(o *kqpick.PoolUpstream) *kqcall.Load {
		if o.Node == "0" {
			return &kqcall.Load{Slots: 6, Running: 2, RecentDuration: 120 * time.Millisecond, Route: "lookup", ExpectedWork: 15 * time.Millisecond}
		}
		return &kqcall.Load{Slots: 6, Running: 6, Waiting: 1, RecentDuration: 30 * time.Millisecond, Route: "lookup", ExpectedWork: 30 * time.Millisecond, Wait: 6 * time.Millisecond}
	}
	counts := make(map[kqname.Node]int)
	for range 100 {
		o := p.Pick(kqpick.Criteria{Route: "lookup"}, nil, now, random)
		counts[o.Node]++
		p.Done(o, kqcall.OK(), false, report(o), now)
	}
	if counts["0"] < 80 {
		t.Errorf("%d of 100 lookups went to the fastest upstream, want at least 80: %v", counts["0"], counts)
	}
}
