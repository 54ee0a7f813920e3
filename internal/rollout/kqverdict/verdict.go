// Package kqverdict compares a new upstream version with the old one over the
// same seconds, call by call as they come, by sequential tests that may be
// read at any time.
//
// Each test bets on how the hits (failures, or calls slower than a threshold)
// that both versions had together in one tick fall to the two. A version that
// is at most tolerably worse makes the bets lose on average, so the wealth
// passes 1/a with a probability of at most a, at whatever moment one looks
// (Ville's inequality). The figures' source is docs/ROLLOUTS.md.
package kqverdict

import (
	"math"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// toleratedPoints and toleratedFactor are how much worse than the old
	// version a good one may be: upstreams differ by that much among
	// themselves.
	toleratedPoints = 0.001
	toleratedFactor = 1.1
)

type (
	// Judge weighs the evidence of one rollout.
	Judge struct {
		pooled *lane
		routes []*lane
		byName map[kqname.Route]*lane
		calls  uint64
		ticks  int
	}

	// Finding is what the evidence says so far.
	Finding struct {
		// Total is the most evidence against the new version since the start,
		// in nats: e^Total is the odds, for one test.
		Total float64
		// Recent is the same since the best moment to have begun; it finds a
		// version that has turned bad after a good start.
		Recent float64
		// Tests is how many tests were run beside each other.
		Tests int
		// Ticks is how many ticks were weighed.
		Ticks int
		// Calls is how many calls of the new version were weighed.
		Calls uint64
		// Where and What name the route and the metric with most evidence.
		Where, What string
	}
)

// New returns a judge without evidence.
func New() *Judge { return &Judge{pooled: newLane(""), byName: make(map[kqname.Route]*lane)} }

// Observe takes in what both versions did in one tick.
func (j *Judge) Observe(s kqevidence.Sample) {
	var all kqevidence.Pair
	for i := range s {
		p := &s[i]
		all.Old.Add(&p.Old)
		all.New.Add(&p.New)
		j.lane(p.Route).observe(p)
	}
	j.pooled.observe(&all)
	j.calls += uint64(all.New.Calls)
	if all.New.Calls > 0 {
		j.ticks++
	}
}

// Finding returns what the evidence says so far.
func (j *Judge) Finding() Finding {
	f := Finding{Total: math.Inf(-1), Ticks: j.ticks, Calls: j.calls}
	best := math.Inf(-1)
	for _, l := range j.lanes() {
		for _, s := range l.streams {
			f.Tests++
			f.Total = max(f.Total, s.total)
			f.Recent = max(f.Recent, s.recent)
			if weight := max(s.total, s.recent); weight > best {
				best, f.Where, f.What = weight, l.name(), s.metric
			}
		}
	}
	return f
}

func (j *Judge) lanes() []*lane {
	// One route alone is all routes: testing it twice would only cost.
	if len(j.routes) < 2 {
		return []*lane{j.pooled}
	}
	return append([]*lane{j.pooled}, j.routes...)
}

func (j *Judge) lane(route kqname.Route) *lane {
	l, ok := j.byName[route]
	if !ok {
		l = newLane(route)
		j.byName[route] = l
		j.routes = append(j.routes, l)
	}
	return l
}
