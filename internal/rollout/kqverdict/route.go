package kqverdict

import (
	"math"

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
	route    kqname.Route
	baseline baseline
	tests    []*sequentialTest
}

func newRouteTests(route kqname.Route) *routeTests {
	return &routeTests{route: route, tests: []*sequentialTest{
		newErrorRiseTest("errors up by 0.5 points", 0.005, 20),
		newErrorRiseTest("errors up by 2 points", 0.02, 5),
		newErrorRiseTest("errors up by 20 points", 0.2, 1).withUnpairedTicks(),
		newSlowdownTest("slower by 1.3 times", toleratedSlowdown, 1.3),
		newSlowdownTest("slower by 2 times", toleratedSlowdown, 2),
		newTailFactorTest("more very slow calls", 5, 10),
		newTailRiseTest("far more very slow calls", 0.25),
	}}
}

// newColdTests returns the test of cold upstreams: those that have just started. Their
// calls are counted under the pseudo-route kqevidence.ColdUpstreams.
func newColdTests() *routeTests {
	return &routeTests{route: kqevidence.ColdUpstreams, tests: []*sequentialTest{newSlowdownTest("far slower than a cold start", toleratedColdSlowdown, 10)}}
}

// observe evaluates one tick and only then adds the old version's calls to the
// baseline, so that in a paired tick no call is compared with rates that include it.
func (r *routeTests) observe(p *kqevidence.Pair) {
	switch {
	case p.New.Calls == 0:
	case r.baseline.isReady() && p.Old.Calls > 0:
		o := r.baseline.compare(p)
		for _, t := range r.tests {
			t.observe(&o)
		}
	default:
		r.observeUnpaired(p)
	}
	r.baseline.add(&p.Old)
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

// compare returns the counts of one tick together with the old version's baseline.
func (b *baseline) compare(p *kqevidence.Pair) observation {
	o := observation{errors: eventCounts{
		oldCalls: float64(p.Old.Calls), oldEvents: float64(p.Old.Failed),
		newCalls: float64(p.New.Calls), newEvents: float64(p.New.Failed),
		overallRate: b.errors.overallRate(), recentRate: b.errors.recentRate(),
	}}
	if !b.hasEnoughLatencies() {
		return o
	}
	old, next := logMomentsOf(&p.Old), logMomentsOf(&p.New)
	o.slow = eventCounts{
		oldCalls: old.calls, oldEvents: countAbove(&p.Old, b.tailBucket), newCalls: next.calls, newEvents: countAbove(&p.New, b.tailBucket),
		overallRate: b.slow.overallRate(), recentRate: b.slow.recentRate(), tailBucket: b.tailBucket,
	}
	o.slowWithoutMargin = o.slow
	o.slow.newEvents = countAbove(&p.New, b.tailBucket+int(math.Ceil(kqevidence.BucketShift(math.Exp(p.LogMargin)))))
	if old.calls < minTimedCalls || next.calls == 0 {
		return o
	}
	o.hasLatencies = true
	o.logDifference = next.mean - old.mean - p.LogMargin
	o.variance = b.variance*(1/old.calls+1/next.calls) + upstreamSpread*upstreamSpread
	return o
}

// logMoments are the number of latencies of a cell, and the mean and variance of their
// logs.
type logMoments struct{ calls, mean, variance float64 }

func logMomentsOf(c *kqevidence.Cell) logMoments {
	var m logMoments
	calls, first, second := c.LogSums()
	m.calls = calls
	if m.calls > 0 {
		m.mean = first / m.calls
		m.variance = max(second/m.calls-m.mean*m.mean, 0)
	}
	return m
}

func countAbove(c *kqevidence.Cell, bucket int) float64 {
	sum := uint32(0)
	for i := bucket + 1; i < kqevidence.Buckets; i++ {
		sum += c.Latency[i]
	}
	return float64(sum)
}
