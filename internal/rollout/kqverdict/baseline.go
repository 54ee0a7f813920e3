package kqverdict

import (
	"math"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"
)

const (
	// forget is the weight that a tick's counts keep at the next tick: they
	// fade over about 30 ticks, so that the thresholds follow the day's load.
	forget = 0.97
	// warm is how many weighted calls the old version needs before its
	// quantiles are used; fewer leave the 99th percentile to one call.
	warm = 50
	// leastRate keeps a version that never failed from making one failure
	// infinitely surprising.
	leastRate = 2e-4
)

// baseline is how the old version has been doing lately.
type baseline struct {
	// calls are those whose latency is known.
	calls   float64
	latency [kqevidence.Buckets]float64
	// everCalls and everFailed never fade: failures are too rare for 30 ticks.
	everCalls, everFailed float64
}

func (b *baseline) ready() bool { return b.calls >= warm }

func (b *baseline) add(c *kqevidence.Cell) {
	b.calls = b.calls*forget + float64(c.Timed())
	b.everCalls += float64(c.Calls)
	b.everFailed += float64(c.Failed)
	for i, n := range c.Latency {
		b.latency[i] = b.latency[i]*forget + float64(n)
	}
}

// failing returns the old version's failure rate since the start.
func (b *baseline) failing() float64 {
	return max(b.everFailed/b.everCalls, leastRate)
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

// tail returns the share of calls over a bucket edge, which may lie between
// two buckets; half a call is added so that an empty tail is not taken for an
// impossible one.
func (b *baseline) tail(edge float64) float64 {
	whole := int(math.Floor(edge))
	part := edge - float64(whole)
	if whole < 0 {
		return 1
	}
	sum := 0.5
	for i := whole + 1; i < kqevidence.Buckets; i++ {
		sum += b.latency[i]
	}
	if whole+1 < kqevidence.Buckets {
		sum -= part * b.latency[whole+1]
	}
	return min(sum/(b.calls+1), 0.95)
}
