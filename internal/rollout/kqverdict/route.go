package kqverdict

import (
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// minTimedCalls is the number of the old version's latencies in a tick below
	// which their mean is not compared.
	minTimedCalls = 5
	// upstreamSpread is the standard deviation, as a log, of the mean latencies of
	// upstreams of one version within one second.
	upstreamSpread = 0.08
)

// routeTests holds the statistical tests of one route, of all routes together, or of the
// upstreams that have just started (route kqevidence.ColdUpstreams).
type routeTests struct {
	route        kqname.Route
	baseline     baseline
	distribution distribution
	tests        []*sequentialTest
}

func newRouteTests(route kqname.Route) *routeTests {
	return &routeTests{route: route, tests: []*sequentialTest{
		newErrorRiseTest("errors up by 0.5 points", 0.005, 20).withWeight(0.5),
		newErrorRiseTest("errors up by 2 points", 0.02, 5),
		newErrorRiseTest("errors up by 20 points", 0.2, 1).withUnpairedTicks(),
		newSlowdownTest("slower by 1.3 times", toleratedSlowdown, 1.3),
		newSlowdownTest("slower by 2 times", toleratedSlowdown, 2),
		newTailFactorTest("more very slow calls", 5, 10),
		newSlowShareTest("more slow calls by 20 points", 0.2, 3).withWeight(0.5),
		newTailRiseTest("far more very slow calls", 0.25),
	}}
}

// newColdTests returns the test of cold upstreams: those that have just started. Their
// calls are counted under the pseudo-route kqevidence.ColdUpstreams.
func newColdTests() *routeTests {
	return &routeTests{route: kqevidence.ColdUpstreams, tests: []*sequentialTest{newSlowdownTest("far slower than a cold start", toleratedColdSlowdown, 10)}}
}

// observe evaluates one tick of a route, relative to the old version's distribution. If the tick
// moves a threshold, the rate of calls above it is counted anew, since earlier calls were counted
// with another one.
func (r *routeTests) observe(p *kqevidence.Pair) {
	l, before := r.distribution.measure(p), r.distribution.thresholds
	r.observeLatencies(p, &l, before)
	r.distribution.add(&p.Old)
	after := r.distribution.thresholds
	if after.slow != before.slow {
		r.baseline.slow = r.distribution.rateAbove(after.slow)
	}
	if after.verySlow != before.verySlow {
		r.baseline.verySlow = r.distribution.rateAbove(after.verySlow)
	}
}

// observeLatencies evaluates one tick and only then adds the old version's calls to the
// baseline, so that in a paired tick no call is compared with rates that include it.
func (r *routeTests) observeLatencies(p *kqevidence.Pair, l *latencies, thresholds tailBuckets) {
	switch {
	case p.New.Calls == 0:
	case r.baseline.isReady() && p.Old.Calls > 0:
		o := r.baseline.compare(p, l, thresholds)
		for _, t := range r.tests {
			t.observe(&o)
		}
	default:
		r.observeUnpaired(p)
	}
	r.baseline.add(&p.Old, l)
}

// observeUnpaired evaluates an unpaired tick, in which the new version's calls are compared
// with the old version's last calls, of this tick and of earlier ones: either the old version
// has none in this tick, or the baseline is not ready, usually since the tick holds everything
// counted before this node began to evaluate. Only large differences can be detected this way.
func (r *routeTests) observeUnpaired(p *kqevidence.Pair) {
	counts, ok := r.baseline.compareUnpaired(p)
	if !ok {
		return
	}
	maxGain := maxUnpairedGain
	if p.Old.Calls > 0 {
		counts, maxGain = counts.withoutCrashFailures(), maxInitialGain
	}
	o := observation{errors: counts}
	for _, t := range r.tests {
		if t.acceptsUnpaired {
			t.add(t.gain(&o), maxGain)
		}
	}
}

// totalWeight returns the sum of the tests' weights.
func (r *routeTests) totalWeight() float64 {
	sum := 0.0
	for _, t := range r.tests {
		sum += t.weight
	}
	return sum
}

// scope names the calls that the tests cover, as shown to operators.
func (r *routeTests) scope() string {
	if r.route == "" {
		return "all routes"
	}
	if r.route == kqevidence.ColdUpstreams {
		return "upstreams that have just started"
	}
	return "route " + string(r.route)
}

// compare returns the counts of one tick, whose slow calls were counted by the thresholds,
// together with the old version's baseline.
func (b *baseline) compare(p *kqevidence.Pair, l *latencies, thresholds tailBuckets) observation {
	o := observation{thresholds: thresholds, errors: eventCounts{
		oldCalls: float64(p.Old.Calls), oldEvents: float64(p.Old.Failed),
		newCalls: float64(p.New.Calls), newEvents: float64(p.New.Failed),
		overallRate: b.errors.overallRate(), recentRate: b.errors.recentRate(),
	}}
	if !b.hasEnoughLatencies() {
		return o
	}
	o.slow = tailEvents(l, l.slow.old, l.slow.nextWithMargin, &b.slow)
	o.verySlow = tailEvents(l, l.verySlow.old, l.verySlow.nextWithMargin, &b.verySlow)
	o.verySlowWithoutMargin = tailEvents(l, l.verySlow.old, l.verySlow.next, &b.verySlow)
	if l.old.calls < minTimedCalls || l.next.calls == 0 {
		return o
	}
	o.hasLatencies = true
	o.logDifference = l.next.mean() - l.old.mean() - p.LogMargin
	o.variance = b.variance*(1/l.old.calls+1/l.next.calls) + upstreamSpread*upstreamSpread
	return o
}

// tailEvents returns the counts of calls above a threshold, with the old version's rate.
func tailEvents(l *latencies, oldEvents, newEvents float64, rate *eventRate) eventCounts {
	return eventCounts{
		oldCalls: l.oldRanked, oldEvents: oldEvents, newCalls: l.newRanked, newEvents: newEvents,
		overallRate: rate.overallRate(), recentRate: rate.recentRate(),
	}
}
