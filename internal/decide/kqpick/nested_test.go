package kqpick_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// More callers came than a service has slots, and each run held its slot for 100 ms of
// work and for one lookup elsewhere. The lookup went to the upstream near by, which takes
// 60 ms, well within the lookup's own target of 120 ms; another domain had one that takes
// 20 ms. Every fourth caller was refused for the difference. The play keeps six slots in
// use for 20 s and counts the runs.
func TestLookupsOfRunsDoNotWasteSlots(t *testing.T) {
	const (
		slots, lasts, own = 6, 20 * time.Second, 100 * time.Millisecond
		near, far, way    = 60 * time.Millisecond, 20 * time.Millisecond, time.Millisecond
		most              = lasts / (own + far + way)
	)
	start := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 8))
	p := fleet(start, []kqname.Domain{"here", "there"}, near, far)
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
		t.Errorf("%d runs in %v, want 95%% of the %d that the slots could do", runs, lasts, possible)
	}
}

// A call from outside holds nothing while it waits: it stays near by where that is well
// in time, and its answer does not cross between domains.
func TestCallsFromOutsideStayNear(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 9))
	p := fleet(now, []kqname.Domain{"here", "there"}, 60*time.Millisecond, 20*time.Millisecond)
	target := kqpick.Target{Ample: kqpick.Ample(120*time.Millisecond, false)}
	for range 20 {
		o := p.Pick(target, nil, now, random)
		if o.Node != "0" {
			t.Fatalf("went to %s, want the one near by", o.Node)
		}
		p.Done(o, kqcall.OK(), false, &kqcall.Load{Slots: 6, Work: 60 * time.Millisecond}, now)
	}
}
