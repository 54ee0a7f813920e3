package kqpick_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// After a restart the first calls that an upstream answers are probes of a millisecond.
// By what its calls took it looks a hundred times faster than the others, and every entry
// sends its callers there, to be refused one after the other while the others stand idle.
// What its gate tells of calls of the very route must count instead.
func TestProbesDoNotDrawOtherCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 5))
	p := fleet(now, []kqname.Domain{"x", "x"}, 2*time.Millisecond, 180*time.Millisecond)
	target := kqpick.Target{Route: "browse"}
	tell := func(wait time.Duration) {
		for range 2 {
			o := p.Pick(target, nil, now, random)
			load := kqcall.Load{Slots: 6, Route: "browse", Work: 180 * time.Millisecond, Expected: 180 * time.Millisecond}
			if o.Node == "0" {
				load.Work, load.Wait, load.Running, load.Waiting = 2*time.Millisecond, wait, 6, 5
			}
			p.Done(o, kqcall.OK(), false, &load, now)
		}
	}
	tell(150 * time.Millisecond)
	went := make(map[kqname.Node]int)
	for range 100 {
		o := p.Pick(target, nil, now, random)
		went[o.Node]++
		p.Done(o, kqcall.OK(), false, &kqcall.Load{Slots: 6, Route: "browse", Work: 180 * time.Millisecond, Expected: 180 * time.Millisecond}, now)
	}
	if went["0"] > 10 {
		t.Errorf("%d of 100 calls went to the upstream with the wait, want 10 at most", went["0"])
	}
}

// Most of what the upstream near by answers are lookups of 20 ms; the route's own calls
// take 350 ms there, and wait as long. Taken for as quick as its lookups, it keeps all
// calls of its failure domain until it refuses them, while others have slots free.
func TestUpstreamNearByIsJudgedByTheRoute(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 6))
	p := fleet(now, []kqname.Domain{"here", "there"}, 20*time.Millisecond, 20*time.Millisecond)
	target := kqpick.Target{Route: "enrolments", Ample: 320 * time.Millisecond}
	for range 10 {
		o := p.Pick(target, nil, now, random)
		load := kqcall.Load{Slots: 6, Route: "enrolments", Work: 20 * time.Millisecond, Expected: 350 * time.Millisecond}
		if o.Node == "0" {
			load.Running, load.Waiting, load.Wait = 6, 6, 350*time.Millisecond
		}
		p.Done(o, kqcall.OK(), false, &load, now)
	}
	o := p.Pick(target, nil, now, random)
	if o.Node != "1" {
		t.Errorf("went to %s, want the upstream with slots free", o.Node)
	}
}

// The quickest of three upstreams ran orders of 120 ms and not one lookup. Taken to need
// 120 ms for those too, it was sent none for as long as the others needed less: their
// slots were all in use, and calls waited, while it had four of six free. Lookups must be
// tried there, and once it tells that they take 15 ms most must go there.
func TestUpstreamThatRanOnlyOrdersGetsLookups(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 7))
	p := fleet(now, []kqname.Domain{"x", "x", "x"}, 120*time.Millisecond, 30*time.Millisecond, 30*time.Millisecond)
	tell := func(o *kqpick.Peer) *kqcall.Load {
		if o.Node == "0" {
			return &kqcall.Load{Slots: 6, Running: 2, Work: 120 * time.Millisecond, Route: "lookup", Expected: 15 * time.Millisecond}
		}
		return &kqcall.Load{Slots: 6, Running: 6, Waiting: 1, Work: 30 * time.Millisecond, Route: "lookup", Expected: 30 * time.Millisecond, Wait: 6 * time.Millisecond}
	}
	went := make(map[kqname.Node]int)
	for range 100 {
		o := p.Pick(kqpick.Target{Route: "lookup"}, nil, now, random)
		went[o.Node]++
		p.Done(o, kqcall.OK(), false, tell(o), now)
	}
	if went["0"] < 80 {
		t.Errorf("%d of 100 lookups went to the quickest upstream, want 80 at least: %v", went["0"], went)
	}
}
