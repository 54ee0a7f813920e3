package kqmargin

import (
	"cmp"
	"math"
	"slices"
)

const (
	// leastVariance is that of a latency known to a bucket of a quarter.
	leastVariance = 0.004
	// deviations is how many standard deviations of a difference by the draw of
	// servers are allowed at least. With two, a version that is twice as slow would be
	// kept on four upstreams against six of which two stand on slow servers.
	deviations = 1
	// lowError is the standard error of a 25th percentile in standard deviations of the
	// calls over the root of their number, where their logs are normal.
	lowError = 1.36
)

// Upstream is what the gate of one upstream counted of its calls' latencies.
type Upstream struct {
	// Lately is how many calls are compared now.
	Lately float64
	// Calls, Sum and Squares are of the logs of the latencies of all calls since the
	// start of the rollout.
	Calls, Sum, Squares float64
	// Low is the log of their 25th percentile.
	Low float64
}

// Of returns by how much, as a log, the mean latency of the new version's calls that
// are compared now may be over that of the old version's: 0 or more. The 25th percentile
// of all of the old version's calls is low.
func Of(old, next []Upstream, low float64) float64 {
	old, next = seen(old), seen(next)
	if len(old) < 2 || len(next) == 0 {
		return 0
	}
	offsets, spread, variance := offsets(old)
	present := weigh(old, offsets)
	drawn := deviations * spread * math.Sqrt(1/float64(len(old))+1/float64(len(next)))
	// From here on only the order counts.
	slices.SortFunc(offsets, func(a, b float64) int { return cmp.Compare(b, a) })
	slices.SortFunc(next, func(a, b Upstream) int { return cmp.Compare(b.mean(), a.mean()) })
	paired, shown := make([]float64, len(next)), make([]float64, len(next))
	for i, u := range next {
		// More upstreams than the old version has are spread over its own.
		paired[i] = offsets[min(i, i*len(offsets)/len(next))]
		shown[i] = max(u.Low-low, 0) + lowError*math.Sqrt(variance/u.Calls)
	}
	return min(max(weigh(next, paired)-present, drawn), weigh(next, shown))
}

// seen returns the upstreams that have any call, in a list of its own.
func seen(list []Upstream) []Upstream {
	return slices.DeleteFunc(slices.Clone(list), func(u Upstream) bool { return u.Calls <= 0 })
}

// offsets returns by how much, as a log, each upstream's calls take longer than the
// mean of all, as far as it is not chance, and the standard deviation of what upstreams
// really differ by, and the variance of an upstream's own calls.
func offsets(list []Upstream) (found []float64, spread, variance float64) {
	var all Upstream
	within := 0.0
	for _, u := range list {
		all.Calls += u.Calls
		all.Sum += u.Sum
		within += u.Squares - u.Sum*u.Sum/u.Calls
	}
	variance = max(within/max(all.Calls-float64(len(list)), 1), leastVariance)
	apart, squares := 0.0, 0.0
	for _, u := range list {
		d := u.mean() - all.mean()
		apart += d * d * u.Calls / variance
		squares += u.Calls * u.Calls
	}
	scale := (all.Calls - squares/all.Calls) / variance
	between := max(apart-float64(len(list)-1), 0) / max(scale, 1)
	found = make([]float64, len(list))
	for i, u := range list {
		found[i] = (u.mean() - all.mean()) * between / (between + variance/u.Calls)
	}
	return found, math.Sqrt(between), variance
}

// weigh returns the mean of the values of upstreams, by the calls compared now; 0 where
// there are none.
func weigh(list []Upstream, values []float64) float64 {
	sum, calls := 0.0, 0.0
	for i, u := range list {
		sum += u.Lately * values[i]
		calls += u.Lately
	}
	if calls == 0 {
		return 0
	}
	return sum / calls
}

func (u Upstream) mean() float64 { return u.Sum / u.Calls }
