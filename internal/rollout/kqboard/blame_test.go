package kqboard_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqledger"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	oldGates, newGates = 4, 5
	tickLasts          = 150 * time.Millisecond
	usualCall          = 100 * time.Millisecond
)

// rig is the gates of a service during an ordered rollout, and the node that weighs
// their evidence.
type rig struct {
	random    *rand.Rand
	gates     []*kqboard.Board
	collector *kqboard.Board
	plan      kqplan.ID
	now       time.Time
}

// order is the service with a rollout that was ordered by its length.
func order() kqresource.Service {
	return service(kqdocument.Rollout{Name: "order", Service: "shed", To: "v2", Policy: "first", DurationMS: 15000})
}

func newRig(seed uint64) *rig {
	s := order()
	r := &rig{random: rand.New(rand.NewPCG(seed, 1)), now: start}
	for i := range oldGates + newGates + 1 {
		b := kqboard.New(kqledger.Source{Node: kqname.Node(fmt.Sprintf("n%d", i))}, upstreams{})
		b.Adopt(map[kqname.Service]kqresource.Service{"shed": s}, start)
		r.gates = append(r.gates, b)
	}
	last := len(r.gates) - 1
	r.collector, r.gates = r.gates[last], r.gates[:last]
	r.plan = r.collector.Views(start)[0].Plan.ID
	return r
}

// observe has a gate count one call of an upstream that has long been warm.
func (r *rig) observe(gate int, o kqcall.Outcome, status int, took time.Duration) {
	version := kqname.UpstreamVersion("v1")
	if gate >= oldGates {
		version = "v2"
	}
	r.gates[gate].Observe(kqgate.Observation{
		Service: "shed", Version: version, Route: "route", Outcome: o, Status: status, Began: r.now, Took: took,
	}, start.Add(-time.Minute), start.Add(-time.Minute))
}

// served has a gate count calls that its upstream answered well.
func (r *rig) served(gate, calls int) {
	for range calls {
		r.observe(gate, kqcall.Outcome{Result: kqcall.Answered}, 200, time.Duration(float64(usualCall)*math.Exp(0.35*r.random.NormFloat64())))
	}
}

// weigh ends a tick, and reports why the new version was taken back, if it was.
func (r *rig) weigh() string {
	r.now = r.now.Add(tickLasts)
	for _, g := range r.gates {
		if report, ok := g.Report(r.plan, r.now); ok {
			r.collector.Merge(r.plan, report)
		}
	}
	r.collector.Weigh(r.plan, r.now)
	p, _ := r.collector.Progress(r.plan)
	return p.Why
}

// Upstreams of the old version turn half of their calls away within a millisecond,
// which their answer says; those of the new one have room and answer all. The old
// version then looked three times as fast as it is, and a good version was taken back
// as "slower by 2 times" at half of the traffic, among other upstreams that were short
// of room. A call that did not run says nothing of how long calls take.
func TestCallsTurnedAwayAreNotQuickCalls(t *testing.T) {
	r := newRig(1)
	for range 60 {
		for g := range oldGates + newGates {
			r.served(g, 4)
			if g < oldGates {
				for range 4 {
					r.observe(g, kqcall.Refuse(kqcall.Shed), 503, time.Millisecond)
				}
			}
		}
		if why := r.weigh(); why != "" {
			t.Fatalf("the new version was taken back: %s", why)
		}
	}
}

// One of the new version's five servers has lost its power. Its gate tries each call
// that comes, in vain, until all nodes leave the upstream out; as calls come from many
// nodes at once, they fail in clusters. Callers notice nothing, since such calls go to
// other upstreams. The version was taken back for "errors up by 20 points", though only
// one server had failed, and its other upstreams never failed a call.
func TestDeadServerSaysItOnce(t *testing.T) {
	r := newRig(2)
	for tick := range 60 {
		for g := range oldGates + newGates - 1 {
			r.served(g, 2)
		}
		if tick%7 < 2 {
			for range 5 {
				r.observe(oldGates+newGates-1, kqcall.Refuse(kqcall.ConnectFailed), 0, 200*time.Microsecond)
			}
		}
		if why := r.weigh(); why != "" {
			t.Fatalf("the new version was taken back: %s", why)
		}
	}
}

// Callers hang up in numbers for reasons of their own, while the new version has more
// of the calls in flight. That they left is no failure of an upstream: its gate does
// not count it as one either.
func TestCallersThatLeaveAreNoFailures(t *testing.T) {
	r := newRig(3)
	for range 60 {
		for g := range oldGates + newGates {
			r.served(g, 2)
			if g >= oldGates && r.random.IntN(2) == 0 {
				r.observe(g, kqcall.Lose(kqcall.Cancelled), 0, usualCall)
			}
		}
		if why := r.weigh(); why != "" {
			t.Fatalf("the new version was taken back: %s", why)
		}
	}
}

// A version whose servers listen to nobody must still be found, however seldom each
// of them is counted: no caller would be served once it has all the traffic.
func TestVersionThatListensToNobodyIsFound(t *testing.T) {
	r := newRig(4)
	for range 40 {
		for g := range oldGates {
			r.served(g, 4)
		}
		for g := range newGates {
			r.observe(oldGates+g, kqcall.Refuse(kqcall.ConnectFailed), 0, 200*time.Microsecond)
		}
		if why := r.weigh(); why != "" {
			return
		}
	}
	t.Error("it was kept for 6 s")
}

// A version that holds its callers until they leave must be found by how long it had
// them: a call that was hung up on would have taken longer still.
func TestVersionThatHoldsItsCallersIsFound(t *testing.T) {
	r := newRig(5)
	for range 40 {
		for g := range oldGates {
			r.served(g, 4)
		}
		for g := range newGates {
			r.observe(oldGates+g, kqcall.Lose(kqcall.Cancelled), 0, 10*usualCall)
		}
		if why := r.weigh(); why != "" {
			return
		}
	}
	t.Error("it was kept for 6 s")
}
