package kqrolloutsim

import (
	"math"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"
)

// smallestEffects are the regressions that a good version's calls are compared
// with; each world uses one.
var smallestEffects = []effect{{latencyFactor: 1.3}, {latencyFactor: 1, errorRate: 0.005}}

// drawCalls draws one version's calls of route i in one tick into the empty cell c. As at
// the gates, latencies of upstreams that have just started go to recentlyStarted instead of
// c, and their calls are counted in both. Unlike at the gates, failures are counted only
// in c.
//
// It returns the log likelihood ratio of the calls with a regression to without it. The
// regression is the given one, or the world's alternative if the world's kind is good; the
// ratio is 0 if the kind is bad and no regression is given. It includes the failures of all
// calls and the latencies of the calls to upstreams past their cold start.
func (w *World) drawCalls(c, recentlyStarted *kqevidence.Cell, i int, version versionState, regression effect) float64 {
	route := w.routes[i]
	n := w.poisson(version.rate * route.weight)
	errorRate := route.errorRate + version.errorRate
	totalErrorRate := clamp(errorRate + regression.errorRate)
	c.Calls = uint32(n)
	c.Failed = uint32(w.binomial(n, totalErrorRate))
	c.Failed += uint32(min(n-int(c.Failed), w.poisson(version.interrupted*version.rate*route.weight*route.mean())))
	// Latency grows as the upstream's utilization nears 1, by half at 1.
	logMedian := math.Log(route.serviceTime*version.latencyFactor) + math.Log1p(0.5*math.Pow(min(version.utilization, 1), 4))
	cold := w.binomial(n, version.cold)
	all := kqevidence.Cell{Calls: c.Calls, Failed: c.Failed}
	w.fillDistribution(&w.distribution, logMedian, route.spread, regression)
	w.spread(&all, n-cold, &w.distribution)
	logRatio := 0.0
	switch {
	case w.Kind.Good():
		logRatio = w.compareWithAlternative(&all, n-cold, logMedian, route.spread, errorRate)
	case regression != noEffect:
		logRatio = w.compareWithNoEffect(&all, n-cold, logMedian, route.spread, errorRate, totalErrorRate)
	}
	w.addLatencies(c, recentlyStarted, &all, (version.recentlyStarted-version.cold)/max(1-version.cold, 1e-9))
	w.fillDistribution(&w.distribution, logMedian+math.Log(coldStartFactor), route.spread, regression)
	var slow kqevidence.Cell
	w.spread(&slow, cold, &w.distribution)
	// This is the share of the latencies during the cold start that the gates leave out.
	excluded := 1.0
	if w.coldSeconds > w.excluded {
		excluded = float64(w.excluded) / float64(w.coldSeconds)
	}
	w.addLatencies(c, recentlyStarted, &slow, excluded)
	return logRatio
}

// addLatencies adds from's latencies to c, except for a random part with the mean share,
// which goes to recentlyStarted with its calls.
func (w *World) addLatencies(c, recentlyStarted, from *kqevidence.Cell, share float64) {
	for b, k := range from.Latency {
		if k == 0 {
			continue
		}
		separate := uint32(w.binomial(int(k), clamp(share)))
		c.Latency[b] += k - separate
		recentlyStarted.Latency[b] += separate
		recentlyStarted.Calls += separate
	}
}

// compareWithNoEffect returns the log likelihood ratio of a bad version's calls with
// its regression to without it. w.distribution must be the one with the regression.
func (w *World) compareWithNoEffect(c *kqevidence.Cell, n int, logMedian, spread, errorRate, totalErrorRate float64) float64 {
	w.fillDistribution(&w.referenceDistribution, logMedian, spread, noEffect)
	return w.logLikelihoodRatio(c, n, errorRate, totalErrorRate)
}

// logLikelihoodRatio returns the log likelihood ratio, in nats, of the calls' failures and
// n latencies under distribution and totalErrorRate to those under referenceDistribution
// and errorRate.
func (w *World) logLikelihoodRatio(c *kqevidence.Cell, n int, errorRate, totalErrorRate float64) float64 {
	logRatio := weightedLogRatio(float64(c.Failed), totalErrorRate, errorRate) + weightedLogRatio(float64(c.Calls-c.Failed), 1-totalErrorRate, 1-errorRate)
	if n == 0 {
		return logRatio
	}
	for b, k := range c.Latency {
		logRatio += weightedLogRatio(float64(k), w.distribution[b], w.referenceDistribution[b])
	}
	return logRatio
}

// compareWithAlternative returns the log likelihood ratio of a good version's calls
// with the world's alternative regression to without it. w.distribution must be the one
// without the regression.
func (w *World) compareWithAlternative(c *kqevidence.Cell, n int, logMedian, spread, errorRate float64) float64 {
	w.referenceDistribution = w.distribution
	w.fillDistribution(&w.distribution, logMedian, spread, w.alternative)
	totalErrorRate := clamp(errorRate + w.alternative.errorRate)
	return w.logLikelihoodRatio(c, n, errorRate, totalErrorRate)
}

// weightedLogRatio returns count times the log of the quotient of two probabilities.
func weightedLogRatio(count, numerator, denominator float64) float64 {
	if count == 0 {
		return 0
	}
	const minProbability = 1e-9
	return count * math.Log(max(numerator, minProbability)/max(denominator, minProbability))
}

// fillDistribution sets p to the share of calls in each latency bucket if latencies are
// log-normal and changed by the effect.
func (w *World) fillDistribution(p *[kqevidence.Buckets]float64, logMedian, spread float64, e effect) {
	cumulative := func(b int, shift float64) float64 {
		return 0.5 * math.Erfc(-(logBucketEdges[b]-logMedian-shift)/(spread*math.Sqrt2))
	}
	before := 0.0
	for b := range p {
		below := 1.0
		if b < kqevidence.Buckets-1 {
			below = cumulative(b, math.Log(e.latencyFactor))
			if e.tail > 0 {
				below = (1-e.tail)*below + e.tail*cumulative(b, math.Log(e.latencyFactor*tailFactor))
			}
		}
		p[b] = below - before
		before = below
	}
}

// spread draws the latency buckets of n calls from p and adds them to the cell.
func (w *World) spread(c *kqevidence.Cell, n int, p *[kqevidence.Buckets]float64) {
	remaining := 1.0
	for b := 0; b < kqevidence.Buckets && n > 0; b++ {
		if p[b] <= 0 {
			continue
		}
		k := w.binomial(n, clamp(p[b]/remaining))
		c.Latency[b] += uint32(k)
		n -= k
		remaining = max(remaining-p[b], 1e-12)
	}
}

func (w *World) poisson(mean float64) int {
	if mean <= 0 {
		return 0
	}
	if mean > 40 {
		// Normal approximation.
		return max(0, int(math.Round(mean+math.Sqrt(mean)*w.random.NormFloat64())))
	}
	// Knuth's algorithm.
	limit, k := math.Exp(-mean), 0
	for product := w.random.Float64(); product > limit; product *= w.random.Float64() {
		k++
	}
	return k
}

func (w *World) binomial(n int, p float64) int {
	switch {
	case n <= 0 || p <= 0:
		return 0
	case p >= 1:
		return n
	case p > 0.5:
		return n - w.binomial(n, 1-p)
	}
	mean := float64(n) * p
	if mean > 30 {
		// Normal approximation.
		k := math.Round(mean + math.Sqrt(mean*(1-p))*w.random.NormFloat64())
		return int(min(max(k, 0), float64(n)))
	}
	// Inverse transform sampling with the recurrence of the binomial probabilities.
	u := w.random.Float64()
	probability := math.Pow(1-p, float64(n))
	odds := p / (1 - p)
	k := 0
	for u > probability && k < n {
		u -= probability
		k++
		probability *= odds * float64(n-k+1) / float64(k)
	}
	return k
}

func clamp(p float64) float64 { return min(max(p, 0), 1) }

// logBucketEdges are the logs of the buckets' upper edges in seconds.
var logBucketEdges = logEdges()

func logEdges() (e [kqevidence.Buckets]float64) {
	for b := range e {
		e[b] = math.Log(kqevidence.Edge(b).Seconds())
	}
	return e
}
