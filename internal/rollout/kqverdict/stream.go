package kqverdict

import (
	"fmt"
	"math"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// counts are the trials of both versions over the same seconds, and how
	// many of them were hits: failures, or calls slower than a threshold.
	counts struct {
		oldCalls, oldHits, newCalls, newHits float64
	}

	// rates are the hit rates that a stream weighs against each other: the
	// old version's, the worst that a good new version has, and a bad one's.
	rates struct {
		old, good, bad float64
	}

	// stream is one betting test. Given how many hits both versions had
	// together, chance alone splits them between the versions by their calls;
	// what makes both slow or fail at once cancels out of that split.
	stream struct {
		metric string
		rates  func(b *baseline) (rates, int)
		// total is the log of the test's wealth since the start, in nats, and
		// recent the same since the best moment to have begun.
		total, recent float64
	}

	// lane holds the streams of one route, or of all routes together.
	lane struct {
		route    kqname.Route
		baseline baseline
		streams  []*stream
	}
)

// failures never reads a latency bucket.
const failures = -1

func newLane(route kqname.Route) *lane {
	return &lane{route: route, streams: []*stream{
		errors("errors up by 0.5 points", 0.005),
		errors("errors up by 2 points", 0.02),
		errors("errors up by 20 points", 0.2),
		slower("slower by 1.3 times", 0.75, 1.3),
		slower("slower by 1.3 times at the slow end", 0.95, 1.3),
		slower("slower by 2 times", 0.95, 2),
		tail("more very slow calls", 3),
		tail("far more very slow calls", 20),
	}}
}

func errors(metric string, points float64) *stream {
	return &stream{metric: metric, rates: func(b *baseline) (rates, int) {
		p := b.failing()
		return rates{old: p, good: p + toleratedPoints, bad: p + points}, failures
	}}
}

func slower(metric string, quantile, factor float64) *stream {
	return &stream{metric: metric, rates: func(b *baseline) (rates, int) {
		edge := b.quantile(quantile)
		return rates{
			old:  b.tail(float64(edge)),
			good: b.tail(float64(edge) - kqevidence.Shift(toleratedFactor)),
			bad:  b.tail(float64(edge) - kqevidence.Shift(factor)),
		}, edge
	}}
}

func tail(metric string, ratio float64) *stream {
	return &stream{metric: metric, rates: func(b *baseline) (rates, int) {
		edge := b.quantile(0.99)
		p := b.tail(float64(edge))
		return rates{old: p, good: b.tail(float64(edge) - kqevidence.Shift(toleratedFactor)), bad: min(ratio*p, 0.9)}, edge
	}}
}

// observe takes in one tick and then lets the old version's calls of this tick
// into the baseline, so that no call is weighed by rates that it has shaped.
func (l *lane) observe(p *kqevidence.Pair) {
	if l.baseline.ready() && p.Old.Calls > 0 && p.New.Calls > 0 {
		for _, s := range l.streams {
			r, edge := s.rates(&l.baseline)
			s.bet(count(p, edge), r)
		}
	}
	l.baseline.add(&p.Old)
}

func (s *stream) bet(c counts, r rates) {
	if r.bad <= r.good {
		return
	}
	good := c.newCalls * r.good
	bad := c.newCalls * r.bad
	old := c.oldCalls * r.old
	pGood, pBad := good/(good+old), bad/(bad+old)
	gain := c.newHits*math.Log(pBad/pGood) + c.oldHits*math.Log((1-pBad)/(1-pGood))
	s.total += gain
	s.recent = max(s.recent+gain, 0)
}

func count(p *kqevidence.Pair, edge int) counts {
	c := counts{oldCalls: float64(p.Old.Calls), newCalls: float64(p.New.Calls)}
	if edge == failures {
		c.oldHits, c.newHits = float64(p.Old.Failed), float64(p.New.Failed)
		return c
	}
	c.oldCalls, c.newCalls = float64(p.Old.Timed()), float64(p.New.Timed())
	for i := edge + 1; i < kqevidence.Buckets; i++ {
		c.oldHits += float64(p.Old.Latency[i])
		c.newHits += float64(p.New.Latency[i])
	}
	return c
}

func (l *lane) name() string {
	if l.route == "" {
		return "all routes"
	}
	return fmt.Sprintf("route %s", l.route)
}
