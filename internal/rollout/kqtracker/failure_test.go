package kqtracker_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqledger"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqtracker"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	oldGates, newGates = 4, 5
	tickInterval       = 150 * time.Millisecond
	typicalLatency     = 100 * time.Millisecond
)

// fixture is the gates of a service during an ordered rollout, and the node that evaluates
// their evidence.
type fixture struct {
	random    *rand.Rand
	gates     []*kqtracker.Tracker
	collector *kqtracker.Tracker
	plan      kqplan.ID
	now       time.Time
}

// orderedService returns a service with a rollout that was ordered with a duration.
func orderedService() kqresource.Service {
	return service(kqdocument.Rollout{Name: "order", Service: "shed", To: "v2", Policy: "first", DurationMS: 15000})
}

func newFixture(seed uint64) *fixture {
	s := orderedService()
	f := &fixture{random: rand.New(rand.NewPCG(seed, 1)), now: start}
	for i := range oldGates + newGates + 1 {
		tracker := kqtracker.New(kqledger.Source{Node: kqname.Node(fmt.Sprintf("n%d", i))}, upstreams{})
		tracker.Update(map[kqname.Service]kqresource.Service{"shed": s}, start)
		f.gates = append(f.gates, tracker)
	}
	last := len(f.gates) - 1
	f.collector, f.gates = f.gates[last], f.gates[:last]
	f.plan = f.collector.PlanSnapshots(start)[0].Plan.ID
	return f
}

// observe counts one call at a gate whose upstream has been warm for long.
func (f *fixture) observe(gate int, o kqcall.Outcome, status int, took time.Duration) {
	version := kqname.UpstreamVersion("v1")
	if gate >= oldGates {
		version = "v2"
	}
	f.gates[gate].Observe(kqgate.Observation{
		Service: "shed", Version: version, Route: "route", Outcome: o, Status: status, Began: f.now, Took: took,
	}, start.Add(-time.Minute), start.Add(-time.Minute))
}

// countSuccesses counts successful calls at a gate.
func (f *fixture) countSuccesses(gate, calls int) {
	for range calls {
		f.observe(gate, kqcall.Outcome{Result: kqcall.Answered}, 200, time.Duration(float64(typicalLatency)*math.Exp(0.35*f.random.NormFloat64())))
	}
}

// endTick ends a tick, and returns the reason if the new version was rolled back.
func (f *fixture) endTick() string {
	f.now = f.now.Add(tickInterval)
	for _, g := range f.gates {
		if report, ok := g.Report(f.plan, f.now); ok {
			f.collector.Merge(f.plan, report)
		}
	}
	f.collector.Evaluate(f.plan, f.now)
	p, _ := f.collector.Progress(f.plan)
	return p.Why
}

// Guards against shed calls that count as fast calls. Upstreams of the old version shed
// half of their calls within a millisecond, while those of the new one answer all. The
// old version looked three times as fast as it was, and a good version was rolled back as
// "slower by 2 times" at half of the traffic. A call that did not run has no latency.
func TestShedCallsAreNotFastCalls(t *testing.T) {
	f := newFixture(1)
	for range 60 {
		for g := range oldGates + newGates {
			f.countSuccesses(g, 4)
			if g < oldGates {
				for range 4 {
					f.observe(g, kqcall.Refuse(kqcall.RefusedByUpstream), 503, time.Millisecond)
				}
			}
		}
		if reason := f.endTick(); reason != "" {
			t.Fatalf("the new version was rolled back: %s", reason)
		}
	}
}

// Guards against the rollback of a version because one of its five servers has lost power.
// The gate's calls to the dead upstream fail in clusters until all nodes have ejected it;
// callers do not notice, since the calls go to other upstreams. The version was rolled back
// for "errors up by 20 points", although its other upstreams never failed a call.
func TestOneDeadServerCausesNoRollback(t *testing.T) {
	f := newFixture(2)
	for tick := range 60 {
		for g := range oldGates + newGates - 1 {
			f.countSuccesses(g, 2)
		}
		if tick%7 < 2 {
			for range 5 {
				f.observe(oldGates+newGates-1, kqcall.Refuse(kqcall.ConnectFailed), 0, 200*time.Microsecond)
			}
		}
		if reason := f.endTick(); reason != "" {
			t.Fatalf("the new version was rolled back: %s", reason)
		}
	}
}

// Guards against the rollback of a good version because disconnects of callers count as
// failures: many callers disconnect for their own reasons while the new version has more of
// the calls in flight. The gate does not count them as failures either.
func TestDisconnectsAreNotFailures(t *testing.T) {
	f := newFixture(3)
	for range 60 {
		for g := range oldGates + newGates {
			f.countSuccesses(g, 2)
			if g >= oldGates && f.random.IntN(2) == 0 {
				f.observe(g, kqcall.UnknownOutcome(kqcall.Cancelled), 0, typicalLatency)
			}
		}
		if reason := f.endTick(); reason != "" {
			t.Fatalf("the new version was rolled back: %s", reason)
		}
	}
}

// Guards against a version that is kept although none of its servers accepts connections,
// since failed connections are counted only once in a while. No caller would be served once
// it had all the traffic.
func TestUnreachableVersionIsDetected(t *testing.T) {
	f := newFixture(4)
	for range 40 {
		for g := range oldGates {
			f.countSuccesses(g, 4)
		}
		for g := range newGates {
			f.observe(oldGates+g, kqcall.Refuse(kqcall.ConnectFailed), 0, 200*time.Microsecond)
		}
		if reason := f.endTick(); reason != "" {
			return
		}
	}
	t.Error("the new version was not rolled back within 6 s")
}

// Checks that a version that keeps callers waiting until they disconnect is detected by its
// latency: the disconnected calls would have taken even longer.
func TestHangingVersionIsDetected(t *testing.T) {
	f := newFixture(5)
	for range 40 {
		for g := range oldGates {
			f.countSuccesses(g, 4)
		}
		for g := range newGates {
			f.observe(oldGates+g, kqcall.UnknownOutcome(kqcall.Cancelled), 0, 10*typicalLatency)
		}
		if reason := f.endTick(); reason != "" {
			return
		}
	}
	t.Error("the new version was not rolled back within 6 s")
}
