package kqverdict

import "github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"

const (
	// tickDecay is the factor by which the counts of latencies decay at each tick that has
	// any: they fade over about 30 ticks, so that tailBucket follows changes of the load.
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
	// tailQuantile is the quantile above which calls are very slow.
	tailQuantile = 0.995
)

type (
	// baseline is the old version's behavior so far.
	baseline struct {
		// calls is the number of calls with a latency, decayed at each tick like latency.
		calls float64
		// timed is the number of calls with a latency, of any age. It leaves out the calls
		// counted by kqevidence.Cell.CountUntimed.
		timed   float64
		latency [kqevidence.Buckets]float64
		// variance is the variance of the logs of the latencies within a tick, averaged
		// over the last ticks.
		variance float64
		// tailBucket is the latency bucket that holds tailQuantile.
		tailBucket   int
		errors, slow eventRate
	}

	// eventRate is a rate since the start and over the last seconds. The rate of slow calls
	// is counted anew whenever tailBucket changes, beginning with the decayed counts of
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

// add adds the old version's calls of one tick.
func (b *baseline) add(c *kqevidence.Cell) {
	b.errors.add(float64(c.Calls), float64(c.Failed))
	m := logMomentsOf(c)
	if m.calls == 0 {
		return
	}
	b.timed += m.calls
	b.slow.add(m.calls, countAbove(c, b.tailBucket))
	b.calls = b.calls*tickDecay + m.calls
	if m.calls > 1 {
		within := m.variance * m.calls / (m.calls - 1)
		b.variance += (within - b.variance) * min(m.calls/b.calls, 1)
	}
	for i, n := range c.Latency {
		b.latency[i] = b.latency[i]*tickDecay + float64(n)
	}
	if tailBucket := b.quantileBucket(tailQuantile); tailBucket != b.tailBucket {
		b.tailBucket = tailBucket
		// The counts of slow calls were taken with the previous threshold.
		b.slow = eventRate{calls: b.calls, events: b.countAbove(tailBucket)}
	}
}

// quantileBucket returns the bucket that holds a quantile of the latencies.
func (b *baseline) quantileBucket(q float64) int {
	want, sum := q*b.calls, 0.0
	for i, n := range b.latency {
		sum += n
		if sum >= want {
			return i
		}
	}
	return kqevidence.Buckets - 1
}

func (b *baseline) countAbove(bucket int) float64 {
	sum := 0.0
	for i := bucket + 1; i < kqevidence.Buckets; i++ {
		sum += b.latency[i]
	}
	return sum
}

func (r *eventRate) add(calls, events float64) {
	r.calls += calls
	r.events += events
	r.recentCalls = r.recentCalls*recentDecay + calls
	r.recentEvents = r.recentEvents*recentDecay + events
	r.retainedCalls += calls
	r.retainedEvents += events
	if fade := maxRetainedCalls / r.retainedCalls; fade < 1 {
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
