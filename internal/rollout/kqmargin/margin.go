package kqmargin

import (
	"cmp"
	"math"
	"slices"
)

const (
	// minVariance is about the variance of the log of a latency within its bucket, whose
	// edges differ by 25%.
	minVariance = 0.004
	// minDeviations is how many standard deviations of the difference that a random
	// choice of servers causes are allowed at least. With two, a version that is twice as
	// slow would be kept on four upstreams against six of which two run on slow servers.
	minDeviations = 1
	// quartileError is the standard error of a 25th percentile, in standard deviations of
	// the calls over the square root of their number, if their logs are normal.
	quartileError = 1.36
)

// Upstream is what the gate of one upstream counted of its calls' latencies.
type Upstream struct {
	// ComparedCalls is how many of Calls are new since the last comparison.
	ComparedCalls float64
	// Calls is the number of all calls with a latency since the start of the rollout;
	// LogSum and LogSquares are the sum and the sum of squares of the logs of the
	// latencies.
	Calls, LogSum, LogSquares float64
	// LowerQuartile is the log of their 25th percentile.
	LowerQuartile float64
}

// Allowed returns by how much, as a log, the mean latency of the new version's
// ComparedCalls may exceed that of the old version's. It is at least 0. lowerQuartile is
// the log of the 25th percentile of all calls of the old version.
func Allowed(old, next []Upstream, lowerQuartile float64) float64 {
	old, next = withCalls(old), withCalls(next)
	if len(old) < 2 || len(next) == 0 {
		return 0
	}
	serverOffsets, spread, variance := serverOffsets(old)
	oldMean := weightedMean(old, serverOffsets)
	minMargin := minDeviations * spread * math.Sqrt(1/float64(len(old))+1/float64(len(next)))
	// The offsets are sorted in place, so they no longer match the upstreams in old.
	slices.SortFunc(serverOffsets, func(a, b float64) int { return cmp.Compare(b, a) })
	slices.SortFunc(next, func(a, b Upstream) int { return cmp.Compare(b.mean(), a.mean()) })
	paired, quartileLimits := make([]float64, len(next)), make([]float64, len(next))
	for i, u := range next {
		// If the new version has more upstreams than the old one, several are paired
		// with the same offset.
		paired[i] = serverOffsets[min(i, i*len(serverOffsets)/len(next))]
		quartileLimits[i] = max(u.LowerQuartile-lowerQuartile, 0) + quartileError*math.Sqrt(variance/u.Calls)
	}
	return min(max(weightedMean(next, paired)-oldMean, minMargin), weightedMean(next, quartileLimits))
}

// withCalls returns a new list of the upstreams that have any calls.
func withCalls(list []Upstream) []Upstream {
	return slices.DeleteFunc(slices.Clone(list), func(u Upstream) bool { return u.Calls <= 0 })
}

// serverOffsets returns by how much, as a log, each upstream's calls take longer than the
// mean of all, shrunk by the part that may be chance. It also returns the standard
// deviation between upstreams without chance, and the variance of the logs of an
// upstream's own calls.
func serverOffsets(list []Upstream) (shrunk []float64, spread, variance float64) {
	var all Upstream
	within := 0.0
	for _, u := range list {
		all.Calls += u.Calls
		all.LogSum += u.LogSum
		within += u.LogSquares - u.LogSum*u.LogSum/u.Calls
	}
	variance = max(within/max(all.Calls-float64(len(list)), 1), minVariance)
	heterogeneity, squares := 0.0, 0.0
	for _, u := range list {
		d := u.mean() - all.mean()
		heterogeneity += d * d * u.Calls / variance
		squares += u.Calls * u.Calls
	}
	scale := (all.Calls - squares/all.Calls) / variance
	between := max(heterogeneity-float64(len(list)-1), 0) / max(scale, 1)
	shrunk = make([]float64, len(list))
	for i, u := range list {
		shrunk[i] = (u.mean() - all.mean()) * between / (between + variance/u.Calls)
	}
	return shrunk, math.Sqrt(between), variance
}

// weightedMean returns the mean of the upstreams' values, weighted by ComparedCalls, or 0
// if there are no such calls.
func weightedMean(list []Upstream, values []float64) float64 {
	sum, calls := 0.0, 0.0
	for i, u := range list {
		sum += u.ComparedCalls * values[i]
		calls += u.ComparedCalls
	}
	if calls == 0 {
		return 0
	}
	return sum / calls
}

func (u Upstream) mean() float64 { return u.LogSum / u.Calls }
