package kqverdict

import (
	"math"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// toleratedErrorRise and toleratedSlowdown are how much worse than the old
	// version a good version may be: upstreams of one version differ by that much
	// among themselves.
	toleratedErrorRise = 0.0005
	toleratedSlowdown  = 1.07
	// toleratedTailFactor is how many times as many very slow calls
	// toleratedSlowdown causes where latencies have little spread.
	toleratedTailFactor = 1.6
	// toleratedTailRise is the rise in the share of very slow calls that a slow
	// server may cause: if a tenth of the old version's calls run on slow servers
	// and all of its very slow calls, 0.5% of the total, are among them, then 5% of
	// the calls on slow servers are very slow.
	toleratedTailRise = 0.05
	// toleratedSlowShare is the rise in the share of slow calls beyond what the margin for
	// servers explains.
	toleratedSlowShare = 0.04
	// toleratedColdSlowdown is how many times slower an upstream may be that has
	// just started.
	toleratedColdSlowdown = 4

	// pooledWealth is the share of the initial wealth of the tests over all
	// routes; the tests of single routes divide the rest. Most faults affect all
	// routes, and the pooled tests have the most calls.
	pooledWealth = 0.5
	// coldWealth is the share of the test of upstreams that have just started.
	coldWealth = 0.05
)

type (
	// Evaluator evaluates the evidence of one rollout.
	Evaluator struct {
		pooled *routeTests
		cold   *routeTests
		// allRoutes is the distribution of all routes' latencies, for those of routes that
		// do not have enough of their own yet.
		allRoutes distribution
		routes    []*routeTests
		byName    map[kqname.Route]*routeTests
		calls     uint64
	}

	// Finding is the result of the tests so far.
	Finding struct {
		// Total is the evidence against the new version since the start, in
		// nats: e^Total is the wealth of all tests together.
		Total float64
		// Recent is the evidence since the starting point that maximizes it. It
		// detects a version that turned bad after a good start.
		Recent float64
		// InFavor is the evidence for the new version over all routes: each pooled
		// test gives evidence that the fault it tests for is absent, and this is the
		// least of them.
		InFavor float64
		// Calls is the number of the new version's calls so far, including those of
		// ticks that could not be evaluated.
		Calls uint64
		// Where and WorstMetric name the calls and the metric with the most evidence
		// against the new version.
		Where, WorstMetric string
	}
)

// New returns an Evaluator without evidence.
func New() *Evaluator {
	return &Evaluator{pooled: newRouteTests(""), cold: newColdTests(), byName: make(map[kqname.Route]*routeTests)}
}

// Observe adds the calls of both versions in one tick.
func (e *Evaluator) Observe(s kqevidence.Sample) {
	var all, cold kqevidence.Pair
	var pooled latencies
	for i := range s {
		p := &s[i]
		if p.Route == kqevidence.ColdUpstreams {
			cold = *p
			continue
		}
		all.Old.Add(&p.Old)
		all.New.Add(&p.New)
		all.LogMargin = p.LogMargin
		r := e.routeTests(p.Route)
		l := e.distributionFor(r).measure(p)
		pooled.add(&l)
		r.observe(p)
	}
	// Each route has thresholds of its own, and moving ones end no span of the pooled tests.
	e.pooled.observeLatencies(&all, &pooled, tailBuckets{})
	e.allRoutes.add(&all.Old)
	// The new version's cold calls are compared with all calls of the old version.
	// These include its cold calls, since all its upstreams may have just started, for
	// example after they crashed together. That only makes the new version look better.
	cold.Old.Add(&all.Old)
	e.cold.observe(&cold)
	e.calls += uint64(all.New.Calls)
}

// distributionFor returns the distribution that a route's latencies are pooled by.
func (e *Evaluator) distributionFor(r *routeTests) *distribution {
	if r.distribution.isReady() {
		return &r.distribution
	}
	return &e.allRoutes
}

// Finding returns the result of the tests so far.
func (e *Evaluator) Finding() Finding {
	f := Finding{Calls: e.calls, InFavor: math.Inf(1)}
	if len(e.routes) == 0 {
		return f
	}
	var total, recent logSum
	best := math.Inf(-1)
	for _, r := range e.activeTests() {
		routeShare := e.wealthShare(r) / r.totalWeight()
		for _, t := range r.tests {
			share := math.Log(routeShare * t.weight)
			total.add(share + t.total)
			recent.add(share + t.adjustedRecent())
			if weight := share + max(t.total, t.adjustedRecent()); weight > best {
				best, f.Where, f.WorstMetric = weight, r.scope(), t.metric
			}
		}
	}
	for _, t := range e.pooled.tests {
		f.InFavor = min(f.InFavor, -t.total)
	}
	f.Total, f.Recent = total.log(), recent.log()
	return f
}

// wealthShare returns the share of the initial wealth that a route's tests get.
func (e *Evaluator) wealthShare(r *routeTests) float64 {
	switch {
	case r == e.cold:
		return coldWealth
	case len(e.routes) < 2:
		return 1 - coldWealth
	case r == e.pooled:
		return pooledWealth
	default:
		return (1 - pooledWealth - coldWealth) / float64(len(e.routes))
	}
}

func (e *Evaluator) activeTests() []*routeTests {
	// With a single route the pooled tests cover the same calls, and testing them
	// twice would only divide the wealth.
	if len(e.routes) < 2 {
		return []*routeTests{e.pooled, e.cold}
	}
	return append([]*routeTests{e.pooled, e.cold}, e.routes...)
}

func (e *Evaluator) routeTests(route kqname.Route) *routeTests {
	r, ok := e.byName[route]
	if !ok {
		r = newRouteTests(route)
		e.byName[route] = r
		e.routes = append(e.routes, r)
	}
	return r
}
