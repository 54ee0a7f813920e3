package kqverdict

import "github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"

const (
	// tickDecay is the factor by which the counts of latencies decay at each tick that has
	// any: they fade over about 30 ticks, so that the thresholds follow changes of the load.
	tickDecay = 0.97
	// recentDecay is the factor by which the counts of the recent rates decay at each tick.
	recentDecay = 0.8
	// minBaselineCalls is how many calls the old version needs before its rates or
	// its latencies are used. Unpaired ticks need only minRetainedCalls.
	minBaselineCalls = 50
	// minRate keeps the first failure after none at all from counting as infinitely
	// unlikely.
	minRate = 2e-4
	// minRetainedCalls is the least number of the old version's calls for an unpaired
	// comparison: if all of 20 succeeded, its failure rate is hardly above
	// one in seven.
	minRetainedCalls = 20
	// maxRetainedCalls is how many of the old version's last calls are retained, of any
	// age, for seconds in which it has none.
	maxRetainedCalls = 200
	// slowQuantile and verySlowQuantile are the quantiles of the old version's latencies above
	// which calls are slow and very slow. A few hundred calls tell little of the higher one,
	// which is then their slowest call.
	slowQuantile, verySlowQuantile = 0.98, 0.995
)

type (
	// baseline is the old version's behavior so far.
	baseline struct {
		// calls is the number of calls with a latency that can be compared, decayed at each
		// tick, and timed that of any age.
		calls, timed float64
		// variance is the variance of the logs of the latencies within a tick, averaged
		// over the last ticks.
		variance               float64
		errors, slow, verySlow eventRate
	}

	// eventRate is a rate since the start and over the last seconds. The rate of slow calls
	// is counted anew whenever their threshold changes, beginning with the decayed counts of
	// about the last 30 ticks.
	eventRate struct {
		calls, events             float64
		recentCalls, recentEvents float64
		// retainedCalls and retainedEvents cover the last calls; they do not decay
		// while there are no calls.
		retainedCalls, retainedEvents float64
	}
)

func (b *baseline) isReady() bool { return b.errors.calls >= minBaselineCalls }

// hasEnoughLatencies reports whether there are enough latencies to compare with. With fewer
// their spread is not known, and the noise of a few calls would look like a difference.
func (b *baseline) hasEnoughLatencies() bool { return b.timed >= minBaselineCalls }

// compareUnpaired returns the new version's failures in a tick together with those among
// the old version's last calls, including the calls of this tick. It returns false if these
// last calls are too few.
func (b *baseline) compareUnpaired(p *kqevidence.Pair) (eventCounts, bool) {
	rates := b.errors
	rates.add(float64(p.Old.Calls), float64(p.Old.Failed))
	return eventCounts{
		oldCalls: rates.retainedCalls, oldEvents: rates.retainedEvents,
		newCalls: float64(p.New.Calls), newEvents: float64(p.New.Failed),
		overallRate: rates.overallRate(), recentRate: rates.recentRate(),
	}, rates.retainedCalls >= minRetainedCalls
}

// add adds the old version's calls of one tick, and their latencies.
func (b *baseline) add(c *kqevidence.Cell, l *latencies) {
	b.errors.add(float64(c.Calls), float64(c.Failed))
	calls := l.old.calls
	if calls == 0 {
		return
	}
	b.timed += calls
	b.slow.add(l.oldRanked, l.slow.old)
	b.verySlow.add(l.oldRanked, l.verySlow.old)
	b.calls = b.calls*tickDecay + calls
	if calls > 1 {
		within := l.old.variance() * calls / (calls - 1)
		b.variance += (within - b.variance) * min(calls/b.calls, 1)
	}
}

func (r *eventRate) add(calls, events float64) {
	r.calls += calls
	r.events += events
	r.recentCalls = r.recentCalls*recentDecay + calls
	r.recentEvents = r.recentEvents*recentDecay + events
	r.retainedCalls += calls
	r.retainedEvents += events
	if fade := maxRetainedCalls / max(r.retainedCalls, 1); fade < 1 {
		r.retainedCalls *= fade
		r.retainedEvents *= fade
	}
}

func (r *eventRate) overallRate() float64 { return max(r.events/max(r.calls, 1), minRate) }

// recentRate returns the rate over the last seconds, smoothed by 100 calls at the overall
// rate.
func (r *eventRate) recentRate() float64 {
	const weight = 100
	return (r.recentEvents + weight*r.overallRate()) / (r.recentCalls + weight)
}
