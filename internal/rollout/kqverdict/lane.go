package kqverdict

import (
	"math"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// leastTimed is how many of the old version's latencies a tick needs for
	// its mean to stand for the second.
	leastTimed = 5
	// ownSpread is how much, as a log, one upstream's mean latency differs
	// from another's in one second for no fault of its version.
	ownSpread = 0.08
)

// lane holds the streams of one route, or of all routes together.
type lane struct {
	route    kqname.Route
	baseline baseline
	streams  []*stream
}

func newLane(route kqname.Route) *lane {
	return &lane{route: route, streams: []*stream{
		errorsUp("errors up by 0.5 points", 0.005, 20),
		errorsUp("errors up by 2 points", 0.02, 5),
		errorsUp("errors up by 20 points", 0.2, 1).lasting(),
		slower("slower by 1.3 times", toleratedFactor, 1.3),
		slower("slower by 2 times", toleratedFactor, 2),
		tailUp("more very slow calls", 5, 10),
		farUp("far more very slow calls", 0.25),
	}}
}

// newYoungLane holds the test of upstreams that have just started.
func newYoungLane() *lane {
	return &lane{route: kqevidence.Young, streams: []*stream{slower("far slower than a cold start", toleratedCold, 10)}}
}

// observe takes in one tick and then lets the old version's calls of this tick
// into the baseline, so that no call is weighed by rates that it has shaped.
func (l *lane) observe(p *kqevidence.Pair) {
	switch {
	case p.New.Calls == 0:
	case l.baseline.ready() && p.Old.Calls > 0:
		t := l.baseline.tick(p)
		for _, s := range l.streams {
			s.observe(&t)
		}
	default:
		l.observeApart(p)
	}
	l.baseline.add(&p.Old)
}

// observeApart weighs calls of the new version against calls of the old one from other
// seconds: the old version has none in this tick, or the tick holds all that was counted
// before this node began to weigh. Only great badness can be told so.
func (l *lane) observeApart(p *kqevidence.Pair) {
	e, ok := l.baseline.apart(p)
	if !ok {
		return
	}
	most := apartClip
	if p.Old.Calls > 0 {
		e, most = e.withoutDeaths(), backlogClip
	}
	t := ticked{errors: e}
	for _, s := range l.streams {
		if s.outlasts {
			s.add(s.gain(&t), most)
		}
	}
}

func (l *lane) name() string {
	if l.route == "" {
		return "all routes"
	}
	if l.route == kqevidence.Young {
		return "upstreams that have just started"
	}
	return "route " + string(l.route)
}

// tick puts a pair beside what is known of the old version.
func (b *baseline) tick(p *kqevidence.Pair) ticked {
	t := ticked{errors: hits{
		oldCalls: float64(p.Old.Calls), oldHits: float64(p.Old.Failed),
		newCalls: float64(p.New.Calls), newHits: float64(p.New.Failed),
		usual: b.errors.usual(), lately: b.errors.lately(),
	}}
	if !b.readyTimes() {
		return t
	}
	old, next := momentsOf(&p.Old), momentsOf(&p.New)
	t.slow = hits{
		oldCalls: old.calls, oldHits: over(&p.Old, b.edge), newCalls: next.calls, newHits: over(&p.New, b.edge),
		usual: b.slow.usual(), lately: b.slow.lately(), edge: b.edge,
	}
	t.far = t.slow
	t.slow.newHits = over(&p.New, b.edge+int(math.Ceil(kqevidence.Shift(math.Exp(p.Margin)))))
	if old.calls < leastTimed || next.calls == 0 {
		return t
	}
	t.timed = true
	t.shift = next.mean - old.mean - p.Margin
	t.variance = b.variance*(1/old.calls+1/next.calls) + ownSpread*ownSpread
	return t
}

// moments are the mean and variance of the log of a cell's latencies.
type moments struct{ calls, mean, variance float64 }

func momentsOf(c *kqevidence.Cell) moments {
	var m moments
	calls, first, second := c.Logs()
	m.calls = calls
	if m.calls > 0 {
		m.mean = first / m.calls
		m.variance = max(second/m.calls-m.mean*m.mean, 0)
	}
	return m
}

func over(c *kqevidence.Cell, edge int) float64 {
	sum := uint32(0)
	for i := edge + 1; i < kqevidence.Buckets; i++ {
		sum += c.Latency[i]
	}
	return float64(sum)
}
