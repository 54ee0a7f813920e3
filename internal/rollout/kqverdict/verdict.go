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
	toleratedPoints = 0.0005
	toleratedFactor = 1.07
	// toleratedTail is how many times as many very slow calls a tolerated
	// factor makes where latencies have little spread.
	toleratedTail = 1.6
	// toleratedFar is how many more very slow calls, in points, a slow server may
	// make: it has them all where a tenth of the old version's calls run on such ones.
	toleratedFar = 0.05
	// toleratedCold is how much slower an upstream may be that has just
	// started.
	toleratedCold = 4

	// pooledPart is the share of the starting wealth that the tests of all
	// routes together have; the routes' share the rest. Most badness shows on
	// all routes, where the calls are most.
	pooledPart = 0.5
	// youngPart is that of the test of upstreams that have just started.
	youngPart = 0.05
)

type (
	// Judge weighs the evidence of one rollout.
	Judge struct {
		pooled *lane
		young  *lane
		routes []*lane
		byName map[kqname.Route]*lane
		calls  uint64
	}

	// Finding is what the evidence says so far.
	Finding struct {
		// Total is the evidence against the new version since the start, in
		// nats: e^Total is the wealth of all tests together.
		Total float64
		// Recent is the same since the best moment to have begun; it finds a
		// version that has turned bad after a good start.
		Recent float64
		// Cleared is the evidence for the new version over all routes: that
		// none of the greater badnesses is there.
		Cleared float64
		// Calls is how many calls of the new version were weighed.
		Calls uint64
		// Where and What name the route and the metric with most evidence.
		Where, What string
	}
)

// New returns a judge without evidence.
func New() *Judge {
	return &Judge{pooled: newLane(""), young: newYoungLane(), byName: make(map[kqname.Route]*lane)}
}

// Observe takes in what both versions did in one tick.
func (j *Judge) Observe(s kqevidence.Sample) {
	var all kqevidence.Pair
	var young kqevidence.Pair
	for i := range s {
		p := &s[i]
		if p.Route == kqevidence.Young {
			young = *p
			continue
		}
		all.Old.Add(&p.Old)
		all.New.Add(&p.New)
		all.Margin = p.Margin
		j.lane(p.Route).observe(p)
	}
	j.pooled.observe(&all)
	// The old version may have just started as a whole, as after a herd; its
	// cold calls then stand in, and only make the new version look better.
	young.Old.Add(&all.Old)
	j.young.observe(&young)
	j.calls += uint64(all.New.Calls)
}

// Finding returns what the evidence says so far.
func (j *Judge) Finding() Finding {
	f := Finding{Calls: j.calls, Cleared: math.Inf(1)}
	if len(j.routes) == 0 {
		return f
	}
	var total, recent sum
	best := math.Inf(-1)
	for _, l := range j.lanes() {
		share := math.Log(j.part(l) / float64(len(l.streams)))
		for _, s := range l.streams {
			total.add(share + s.total)
			recent.add(share + s.late())
			if weight := share + max(s.total, s.late()); weight > best {
				best, f.Where, f.What = weight, l.name(), s.metric
			}
		}
	}
	for _, s := range j.pooled.streams {
		f.Cleared = min(f.Cleared, -s.total)
	}
	f.Total, f.Recent = total.log(), recent.log()
	return f
}

// part returns a lane's part of the starting wealth.
func (j *Judge) part(l *lane) float64 {
	switch {
	case l == j.young:
		return youngPart
	case len(j.routes) < 2:
		return 1 - youngPart
	case l == j.pooled:
		return pooledPart
	default:
		return (1 - pooledPart - youngPart) / float64(len(j.routes))
	}
}

func (j *Judge) lanes() []*lane {
	// One route alone is all routes: testing it twice would only cost.
	if len(j.routes) < 2 {
		return []*lane{j.pooled, j.young}
	}
	return append([]*lane{j.pooled, j.young}, j.routes...)
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
