package kqverdict

import "github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"

const (
	// forget is the weight that a tick's counts keep at the next tick: they
	// fade over about 30 ticks, so that the threshold follows the day's load.
	forget = 0.97
	// soon is the same for the rates of the last seconds.
	soon = 0.8
	// warm is how many weighted calls the old version needs before its
	// figures are used.
	warm = 50
	// leastRate keeps a version that never failed from making one failure
	// infinitely surprising.
	leastRate = 2e-4
	// leastRecalled is how many of the old version's calls the new one's are compared
	// with at least where they are of other seconds: where all of twenty went well, at
	// most one in seven fails.
	leastRecalled = 20
	// recalled is how many of the old version's calls are remembered, however long ago
	// they were, for seconds in which it has none.
	recalled = 200
	// tailQuantile parts the very slow calls from the others.
	tailQuantile = 0.995
)

type (
	// baseline is how the old version has been doing.
	baseline struct {
		calls float64
		// timed is how many calls told how long they took, of however long ago: those of
		// upstreams that have just started do not.
		timed    float64
		latency  [kqevidence.Buckets]float64
		variance float64
		// edge is the latency bucket that holds the tail's threshold.
		edge         int
		errors, slow rate
	}

	// rate is a rate since the start and of late.
	rate struct {
		calls, hits         float64
		soonCalls, soonHits float64
		// pastCalls and pastHits are the last calls, which do not fade while there
		// are none.
		pastCalls, pastHits float64
	}
)

func (b *baseline) ready() bool { return b.errors.calls >= warm }

// readyTimes reports whether latencies can be compared: their spread is not known before,
// and a few calls' chance would pass for a difference.
func (b *baseline) readyTimes() bool { return b.timed >= warm }

// apart puts the new version's calls beside the old one's last ones and those of this
// tick; false where these are too few to compare with.
func (b *baseline) apart(p *kqevidence.Pair) (hits, bool) {
	known := b.errors
	known.add(float64(p.Old.Calls), float64(p.Old.Failed))
	return hits{
		oldCalls: known.pastCalls, oldHits: known.pastHits,
		newCalls: float64(p.New.Calls), newHits: float64(p.New.Failed),
		usual: known.usual(), lately: known.lately(),
	}, known.pastCalls >= leastRecalled
}

func (b *baseline) add(c *kqevidence.Cell) {
	b.errors.add(float64(c.Calls), float64(c.Failed))
	m := momentsOf(c)
	if m.calls == 0 {
		return
	}
	b.timed += m.calls
	b.slow.add(m.calls, over(c, b.edge))
	b.calls = b.calls*forget + m.calls
	if m.calls > 1 {
		within := m.variance * m.calls / (m.calls - 1)
		b.variance += (within - b.variance) * min(m.calls/b.calls, 1)
	}
	for i, n := range c.Latency {
		b.latency[i] = b.latency[i]*forget + float64(n)
	}
	if edge := b.quantile(tailQuantile); edge != b.edge {
		b.edge = edge
		// The rate over another threshold is another rate.
		b.slow = rate{calls: b.calls, hits: b.over(edge)}
	}
}

// quantile returns the bucket that holds a quantile of the latencies.
func (b *baseline) quantile(q float64) int {
	want, sum := q*b.calls, 0.0
	for i, n := range b.latency {
		sum += n
		if sum >= want {
			return i
		}
	}
	return kqevidence.Buckets - 1
}

func (b *baseline) over(edge int) float64 {
	sum := 0.0
	for i := edge + 1; i < kqevidence.Buckets; i++ {
		sum += b.latency[i]
	}
	return sum
}

func (r *rate) add(calls, hits float64) {
	r.calls += calls
	r.hits += hits
	r.soonCalls = r.soonCalls*soon + calls
	r.soonHits = r.soonHits*soon + hits
	r.pastCalls += calls
	r.pastHits += hits
	if fade := recalled / r.pastCalls; fade < 1 {
		r.pastCalls *= fade
		r.pastHits *= fade
	}
}

func (r *rate) usual() float64 { return max(r.hits/max(r.calls, 1), leastRate) }

// lately is drawn towards the usual rate by the weight of a hundred calls.
func (r *rate) lately() float64 {
	const weight = 100
	return (r.soonHits + weight*r.usual()) / (r.soonCalls + weight)
}
