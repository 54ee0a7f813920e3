package kqverdict

import (
	"math"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"
)

type (
	// distribution is the distribution of the old version's latencies on one route, or on all
	// routes that have too few calls for one of their own. Latencies are compared relative to
	// it, so that those of routes with fast and with slow calls can be pooled: a mean over all
	// calls would tell of little but which routes were called, and the very slow calls of all
	// would be those of the slowest route.
	distribution struct {
		// calls is the number of calls with a latency, decayed at each tick like latency,
		// and timed that of any age. They leave out the calls counted by
		// kqevidence.Cell.CountUntimed.
		calls, timed float64
		latency      [kqevidence.Buckets]float64
		thresholds   tailBuckets
	}

	// tailBuckets are the latency buckets that hold slowQuantile and verySlowQuantile: the
	// thresholds for slow and for very slow calls.
	tailBuckets struct{ slow, verySlow int }

	// latencies are the latencies of both versions in one tick, relative to the old version's
	// distribution.
	latencies struct {
		old, next logMoments
		// oldRanked and newRanked are the calls whose distribution is ready, so that its
		// thresholds tell which of them are slow.
		oldRanked, newRanked float64
		slow, verySlow       tailCounts
	}

	// tailCounts counts the calls above a threshold, and those of the new version that are
	// above it even on a server that is slower by the margin.
	tailCounts struct{ old, next, nextWithMargin float64 }

	// logMoments holds the number of latencies, and the sum and the sum of squares of their
	// logs.
	logMoments struct{ calls, sum, squares float64 }
)

func (d *distribution) isReady() bool { return d.timed >= minBaselineCalls }

// measure returns the latencies of a tick relative to the distribution.
func (d *distribution) measure(p *kqevidence.Pair) latencies {
	mean, margin := d.mean(), int(math.Ceil(kqevidence.BucketShift(math.Exp(p.LogMargin))))
	l := latencies{old: momentsAround(&p.Old, mean), next: momentsAround(&p.New, mean)}
	if d.isReady() {
		l.oldRanked, l.newRanked = l.old.calls, l.next.calls
		l.slow, l.verySlow = countTail(p, d.thresholds.slow, margin), countTail(p, d.thresholds.verySlow, margin)
	}
	return l
}

func countTail(p *kqevidence.Pair, bucket, margin int) tailCounts {
	return tailCounts{old: countAbove(&p.Old, bucket), next: countAbove(&p.New, bucket), nextWithMargin: countAbove(&p.New, bucket+margin)}
}

// add adds the old version's calls of one tick.
func (d *distribution) add(c *kqevidence.Cell) {
	calls := float64(c.TimedCalls())
	if calls == 0 {
		return
	}
	d.timed += calls
	d.calls = d.calls*tickDecay + calls
	for i, n := range c.Latency {
		d.latency[i] = d.latency[i]*tickDecay + float64(n)
	}
	d.thresholds = tailBuckets{slow: d.quantileBucket(slowQuantile), verySlow: d.quantileBucket(verySlowQuantile)}
}

// rateAbove returns the rate of calls above a bucket that the decayed counts show.
func (d *distribution) rateAbove(bucket int) eventRate {
	return eventRate{calls: d.calls, events: d.countAbove(bucket)}
}

// mean returns the mean of the logs of the latencies, on the scale of kqevidence.Cell.LogSums.
func (d *distribution) mean() float64 {
	sum := 0.0
	for i, n := range d.latency {
		sum += n * float64(i)
	}
	return sum / max(d.calls, 1) * kqevidence.LogBucketGrowth
}

// quantileBucket returns the bucket that holds a quantile of the latencies.
func (d *distribution) quantileBucket(q float64) int {
	want, sum := q*d.calls, 0.0
	for i, n := range d.latency {
		sum += n
		if sum >= want {
			return i
		}
	}
	return kqevidence.Buckets - 1
}

func (d *distribution) countAbove(bucket int) float64 {
	sum := 0.0
	for i := bucket + 1; i < kqevidence.Buckets; i++ {
		sum += d.latency[i]
	}
	return sum
}

// add adds the latencies of another route in the same tick.
func (l *latencies) add(o *latencies) {
	l.old.add(o.old)
	l.next.add(o.next)
	l.oldRanked += o.oldRanked
	l.newRanked += o.newRanked
	l.slow.add(o.slow)
	l.verySlow.add(o.verySlow)
}

func (t *tailCounts) add(o tailCounts) {
	t.old += o.old
	t.next += o.next
	t.nextWithMargin += o.nextWithMargin
}

// momentsAround returns the moments of a cell's latencies relative to a mean.
func momentsAround(c *kqevidence.Cell, mean float64) logMoments {
	calls, sum, squares := c.LogSums()
	return logMoments{calls: calls, sum: sum - calls*mean, squares: squares - 2*mean*sum + calls*mean*mean}
}

func (m *logMoments) add(o logMoments) {
	m.calls += o.calls
	m.sum += o.sum
	m.squares += o.squares
}

func (m *logMoments) mean() float64 { return m.sum / max(m.calls, 1) }

func (m *logMoments) variance() float64 {
	return max(m.squares/max(m.calls, 1)-m.mean()*m.mean(), 0)
}

func countAbove(c *kqevidence.Cell, bucket int) float64 {
	sum := uint32(0)
	for i := bucket + 1; i < kqevidence.Buckets; i++ {
		sum += c.Latency[i]
	}
	return float64(sum)
}
