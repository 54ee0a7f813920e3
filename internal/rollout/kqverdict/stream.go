package kqverdict

import "math"

const (
	// clip bounds what one tick may add, in nats. A herd of upstreams that die
	// with calls in flight fails many calls in one tick, whatever the version;
	// three bad ticks say more than one.
	clip = 4.2
	// spanClip bounds a span of several ticks. Within one, a tick's failures
	// are bounded by burstPoints, so that a herd that dies in it does not
	// settle the span.
	spanClip = 7
	// apartClip bounds a tick in which the old version has no calls: what fails both
	// versions cannot be seen then, and ends within a second or so as a rule.
	apartClip = 0.9
	// backlogClip bounds what was counted before this node began to weigh, and deadCalls
	// is how many failures of it are left out: upstreams that died with calls in flight
	// may have made them, and when is not known.
	backlogClip = 2 * spanClip
	deadCalls   = 25
	burstPoints = 0.06
	// floor keeps a stream that has long spoken for the new version from
	// having to be paid back in full.
	floor = -30
)

type (
	// stream is one betting test on one metric of one lane. Its gain in a tick
	// is the log of how much likelier the tick is if the version is bad in the
	// stream's way than if it is good.
	stream struct {
		metric string
		gain   func(t *ticked) float64
		// span is how many ticks are weighed together; held has those so far.
		// Small badness is lost in one tick's chance, great badness cannot wait.
		span, ticks int
		held        ticked
		// outlasts tells that the test also weighs calls of different seconds.
		outlasts bool
		// total is the log of the test's wealth since the start, in nats.
		total float64
		// recent is the same since the best moment to have begun, and began
		// counts the moments at which it set out.
		recent float64
		began  int
	}

	// ticked is one tick of one lane with what is known of the old version.
	ticked struct {
		errors, slow hits
		// far are the very slow calls without the margin for the new version's
		// servers, which slow leaves out.
		far hits
		// shift is the mean log of the new version's latencies over the old
		// one's and the margin in this tick, and variance its variance; timed
		// tells that both versions have any.
		timed           bool
		shift, variance float64
	}

	// hits are the calls of both versions in one tick and how many of them
	// failed, or were slower than a threshold.
	hits struct {
		oldCalls, oldHits, newCalls, newHits float64
		// usual is the old version's rate until now, lately its rate of the
		// last seconds.
		usual, lately float64
		// edge names the threshold.
		edge int
	}
)

// errorsUp bets on a failure rate that is higher by points.
func errorsUp(metric string, points float64, span int) *stream {
	return &stream{metric: metric, span: span, gain: func(t *ticked) float64 {
		return t.errors.ratio(
			func(p float64) float64 { return p + toleratedPoints },
			func(p float64) float64 { return p + points })
	}}
}

// lasting has the test weigh calls of different seconds too.
func (s *stream) lasting() *stream {
	s.outlasts = true
	return s
}

// tailUp bets on more calls over the old version's 99.5th percentile.
func tailUp(metric string, factor float64, span int) *stream {
	return &stream{metric: metric, span: span, gain: func(t *ticked) float64 {
		return t.slow.ratio(
			func(p float64) float64 { return toleratedTail * p },
			func(p float64) float64 { return factor * p })
	}}
}

// farUp bets on far more calls over the old version's 99.5th percentile, by points.
// Where servers differ, a version that is many times slower for a part of its calls
// only, on a quick server, is no slower in the mean than the old version on a slow one;
// it shows here, as the percentile is of the old version's calls on slow servers too.
func farUp(metric string, points float64) *stream {
	return &stream{metric: metric, span: 1, gain: func(t *ticked) float64 {
		return t.far.ratio(
			func(p float64) float64 { return p + toleratedFar },
			func(p float64) float64 { return p + points })
	}}
}

// slower bets on latencies that are longer by factor. The logs of latencies are
// compared within the tick, so that what slows both versions cancels out.
func slower(metric string, tolerated, factor float64) *stream {
	good, bad := math.Log(tolerated), math.Log(factor)
	return &stream{metric: metric, span: 1, gain: func(t *ticked) float64 {
		if !t.timed {
			return 0
		}
		return (bad - good) * (t.shift - (good+bad)/2) / t.variance
	}}
}

func (s *stream) observe(t *ticked) {
	if s.ticks > 0 && s.held.slow.edge != t.slow.edge {
		s.settle()
	}
	errors, slow := t.errors, t.slow
	if s.span > 1 {
		errors, slow = errors.bounded(), slow.bounded()
	}
	if s.ticks == 0 {
		s.held = *t
		s.held.errors, s.held.slow = errors, slow
	} else {
		s.held.errors.add(errors)
		s.held.slow.add(slow)
	}
	s.ticks++
	if s.ticks >= s.span {
		s.settle()
	}
}

// settle weighs the ticks that are held.
func (s *stream) settle() {
	s.ticks = 0
	s.add(s.gain(&s.held), s.most())
}

// add takes in what a span of ticks is worth, at most most.
func (s *stream) add(gain, most float64) {
	if math.IsNaN(gain) {
		return
	}
	gain = min(gain, most)
	s.total = max(s.total+gain, floor)
	if s.recent <= 0 && gain > 0 {
		s.began++
	}
	s.recent = max(s.recent+gain, 0)
}

func (s *stream) most() float64 {
	if s.span > 1 {
		return spanClip
	}
	return clip
}

// add counts another tick's hits; the rates stay those of before the span.
func (h *hits) add(o hits) {
	h.oldCalls += o.oldCalls
	h.oldHits += o.oldHits
	h.newCalls += o.newCalls
	h.newHits += o.newHits
}

// bounded returns the hits with no more of the new version's than a burst of
// moderate badness makes.
func (h hits) bounded() hits {
	h.newHits = min(h.newHits, 1+(burstPoints+3*h.lately)*h.newCalls)
	return h
}

// withoutDeaths leaves out the failures that upstreams which died may have made.
func (h hits) withoutDeaths() hits {
	dead := min(h.newHits, deadCalls)
	h.newCalls -= dead
	h.newHits -= dead
	return h
}

// late returns the recent evidence less what having had many moments to set
// out is worth: the j-th of them is given a part 1/j of the false alarms.
func (s *stream) late() float64 { return s.recent - math.Log(float64(max(s.began, 1))) }

// ratio returns the log of how much likelier the tick's hits are where the new
// version's rate is bad(p) than where it is good(p). The old version's own rate
// p of this second is not known; both sides are averaged over the rates that it
// may have, so that a burst of failures that both versions share speaks for
// neither side.
func (h *hits) ratio(good, bad func(p float64) float64) float64 {
	if h.newCalls == 0 || h.oldCalls == 0 {
		return 0
	}
	var sumGood, sumBad sum
	for i, factor := range burstFactors {
		p := clamp(factor * h.usual)
		if i == 0 {
			p = clamp(h.lately)
		}
		if i >= len(burstFactors)-wholeRates {
			p = factor
		}
		own := burstWeights[i] + chance(h.oldHits, h.oldCalls, p)
		sumGood.add(own + chance(h.newHits, h.newCalls, clamp(good(p))))
		sumBad.add(own + chance(h.newHits, h.newCalls, clamp(bad(p))))
	}
	// The rate that fits both versions best stands for good alone: between two
	// of the listed rates, a burst would else look like the worse of two.
	both := clamp((h.oldHits + h.newHits) / (h.oldCalls + h.newCalls))
	sumGood.add(fitted + chance(h.oldHits, h.oldCalls, both) + chance(h.newHits, h.newCalls, both))
	return sumBad.log() - sumGood.log()
}

// sum adds up numbers that are given by their logs.
type sum struct {
	top, rest float64
	any       bool
}

func (s *sum) add(log float64) {
	switch {
	case !s.any:
		s.top, s.rest, s.any = log, 1, true
	case log > s.top:
		s.rest = s.rest*math.Exp(s.top-log) + 1
		s.top = log
	default:
		s.rest += math.Exp(log - s.top)
	}
}

func (s *sum) log() float64 { return s.top + math.Log(s.rest) }

// chance returns the log of the binomial probability without its coefficient,
// which both sides share.
func chance(hits, calls, p float64) float64 {
	return hits*math.Log(p) + (calls-hits)*math.Log1p(-p)
}

func clamp(p float64) float64 { return min(max(p, 1e-6), 0.999) }

const wholeRates = 4

var (
	// burstFactors are the rates that the old version may have in one second:
	// its rate of late, its usual one, a few times that, and some rates that
	// only a burst has. The weights, as logs, say how often.
	burstFactors = [...]float64{0, 1, 0.4, 2.5, 6, 15, 0.02, 0.06, 0.2, 0.6}
	fitted       = math.Log(0.1)
	burstWeights = logs([...]float64{0.35, 0.35, 0.08, 0.08, 0.04, 0.02, 0.02, 0.02, 0.02, 0.02})
)

func logs(weights [10]float64) [10]float64 {
	for i, w := range weights {
		weights[i] = math.Log(w)
	}
	return weights
}
