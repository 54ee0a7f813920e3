package kqworld

import (
	"math"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"
)

// smallest are the badnesses of which one is a good version's rival.
var smallest = []effect{{factor: 1.3}, {factor: 1, errors: 0.005}}

// calls draws one version's calls of one route in one tick, counts them and
// returns the log of how much likelier they are with the badness than without.
// As at the gates, what upstreams that have just started do counts without its
// latency, which goes to young instead; the test that knows all weighs all.
func (w *World) calls(c, young *kqevidence.Cell, i int, m moment, e effect) float64 {
	o := w.routes[i]
	n := w.poisson(m.rate * o.weight)
	errors := o.errors + m.errors
	failing := clamp(errors + e.errors)
	c.Calls = uint32(n)
	c.Failed = uint32(w.binomial(n, failing))
	c.Failed += uint32(min(n-int(c.Failed), w.poisson(m.cut*m.rate*o.weight*o.mean())))
	// Slowness by load: an upstream near its slots' limit slows down.
	base := math.Log(o.work*m.factor) + math.Log1p(0.5*math.Pow(min(m.use, 1), 4))
	cold := w.binomial(n, m.cold)
	all := kqevidence.Cell{Calls: c.Calls, Failed: c.Failed}
	w.shape(&w.truth, base, o.spread, e)
	w.spread(&all, n-cold, &w.truth)
	odds := 0.0
	switch {
	case w.Kind.Good():
		odds = w.weighRival(&all, n-cold, base, o.spread, errors)
	case e != none:
		odds = w.weigh(&all, n-cold, base, o.spread, errors, failing)
	}
	w.count(c, young, &all, (m.young-m.cold)/max(1-m.cold, 1e-9))
	w.shape(&w.truth, base+math.Log(coldFactor), o.spread, e)
	var slow kqevidence.Cell
	w.spread(&slow, cold, &w.truth)
	excluded := 1.0
	if w.coldFor > w.excluded {
		excluded = float64(w.excluded) / float64(w.coldFor)
	}
	w.count(c, young, &slow, excluded)
	return odds
}

// count puts each latency into the cell, or into young by the given share.
func (w *World) count(c, young, from *kqevidence.Cell, share float64) {
	for b, k := range from.Latency {
		if k == 0 {
			continue
		}
		apart := uint32(w.binomial(int(k), clamp(share)))
		c.Latency[b] += k - apart
		young.Latency[b] += apart
		young.Calls += apart
	}
}

func (w *World) weigh(c *kqevidence.Cell, n int, base, spread, errors, failing float64) float64 {
	w.shape(&w.alone, base, spread, none)
	return w.compare(c, n, errors, failing)
}

func (w *World) compare(c *kqevidence.Cell, n int, errors, failing float64) float64 {
	odds := ratio(float64(c.Failed), failing, errors) + ratio(float64(c.Calls-c.Failed), 1-failing, 1-errors)
	if n == 0 {
		return odds
	}
	for b, k := range c.Latency {
		odds += ratio(float64(k), w.truth[b], w.alone[b])
	}
	return odds
}

// weighRival weighs a good version's calls against the badness that the limit
// has to tell it from.
func (w *World) weighRival(c *kqevidence.Cell, n int, base, spread, errors float64) float64 {
	w.alone = w.truth
	w.shape(&w.truth, base, spread, w.rival)
	failing := clamp(errors + w.rival.errors)
	return w.compare(c, n, errors, failing)
}

func ratio(count, one, other float64) float64 {
	if count == 0 {
		return 0
	}
	const least = 1e-9
	return count * math.Log(max(one, least)/max(other, least))
}

// shape fills in the share of calls in each latency bucket.
func (w *World) shape(p *[kqevidence.Buckets]float64, base, spread float64, e effect) {
	cumulative := func(b int, shift float64) float64 {
		return 0.5 * math.Erfc(-(edges[b]-base-shift)/(spread*math.Sqrt2))
	}
	before := 0.0
	for b := range p {
		below := 1.0
		if b < kqevidence.Buckets-1 {
			below = cumulative(b, math.Log(e.factor))
			if e.tail > 0 {
				below = (1-e.tail)*below + e.tail*cumulative(b, math.Log(e.factor*tailFactor))
			}
		}
		p[b] = below - before
		before = below
	}
}

// spread draws n calls into the cell's buckets.
func (w *World) spread(c *kqevidence.Cell, n int, p *[kqevidence.Buckets]float64) {
	left := 1.0
	for b := 0; b < kqevidence.Buckets && n > 0; b++ {
		if p[b] <= 0 {
			continue
		}
		k := w.binomial(n, clamp(p[b]/left))
		c.Latency[b] += uint32(k)
		n -= k
		left = max(left-p[b], 1e-12)
	}
}

func (w *World) poisson(mean float64) int {
	if mean <= 0 {
		return 0
	}
	if mean > 40 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*w.random.NormFloat64())))
	}
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
		k := math.Round(mean + math.Sqrt(mean*(1-p))*w.random.NormFloat64())
		return int(min(max(k, 0), float64(n)))
	}
	// Inversion by the recurrence of the probabilities.
	u := w.random.Float64()
	chance := math.Pow(1-p, float64(n))
	odds := p / (1 - p)
	k := 0
	for u > chance && k < n {
		u -= chance
		k++
		chance *= odds * float64(n-k+1) / float64(k)
	}
	return k
}

func clamp(p float64) float64 { return min(max(p, 0), 1) }

var edges = logEdges()

func logEdges() (e [kqevidence.Buckets]float64) {
	for b := range e {
		e[b] = math.Log(kqevidence.Edge(b).Seconds())
	}
	return e
}
