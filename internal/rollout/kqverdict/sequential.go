package kqverdict

import "math"

const (
	// maxTickGain bounds what one tick may add to a test, in nats. When many
	// upstreams crash with calls in flight, many calls fail in one tick, whatever
	// the version; three bad ticks are stronger evidence than one.
	maxTickGain = 4.2
	// maxSpanGain bounds what a span of several ticks may add. Within the span
	// each tick's failures are limited by burstRate, so that upstreams that crash
	// together in one tick do not decide the whole span.
	maxSpanGain = 7
	// maxUnpairedGain bounds a tick in which the old version has no calls: a fault that
	// affects both versions cannot be recognized then. Such faults usually end within
	// about a second.
	maxUnpairedGain = 0.9
	// maxInitialGain bounds a tick with calls of both versions before the baseline is
	// ready, which usually holds everything counted before this node began to evaluate.
	// maxCrashFailures is how many failures of such a tick are ignored: upstreams that
	// crashed with calls in flight may have caused them, and their times are not known.
	maxInitialGain   = 2 * maxSpanGain
	maxCrashFailures = 25
	// burstRate plus three times the old version's recent rate is the share of the new
	// version's calls in a tick that may count as events, beside one that always may;
	// withBurstLimit ignores further events.
	burstRate = 0.06
	// slowBurstRate is burstRate for slow calls. An upstream that stalls makes few calls slow,
	// since its slots are then in use, while a crash may fail many calls.
	slowBurstRate = 0.25
	// minTotal bounds the evidence for the new version, so that a test that has favored
	// it for long does not have to make up for all of it before it can alarm.
	minTotal = -30
)

type (
	// sequentialTest is a sequential likelihood-ratio test of one metric of one route,
	// also known as a betting test. Its gain in a tick is the log of the likelihood
	// ratio of a version that is bad in the way tested to one that is good; its wealth
	// is the product of the ratios, each of them bounded.
	sequentialTest struct {
		metric string
		// weight is the test's part of the initial wealth, relative to that of other tests.
		weight float64
		gain   func(o *observation) float64
		// span is how many ticks are evaluated together; pending sums up the ticks
		// of the current span. A small difference does not stand out from the noise
		// of one tick; a large one must be detected without delay.
		span, ticks int
		pending     observation
		// acceptsUnpaired is set if the test also evaluates unpaired ticks, whose calls are
		// compared with the old version's calls of earlier ticks too.
		acceptsUnpaired bool
		// total is the log of the test's wealth since the start, in nats.
		total float64
		// recent is the log of the wealth since the best starting point so far (as in
		// CUSUM), and restarts counts the starting points.
		recent   float64
		restarts int
	}

	// observation is one tick of one route with the old version's baseline.
	observation struct {
		errors, slow, verySlow eventCounts
		// verySlowWithoutMargin counts the calls above the threshold for very slow calls;
		// slow and verySlow count those of the new version only above the threshold plus
		// the margin for its servers.
		verySlowWithoutMargin eventCounts
		// thresholds are those by which slow and very slow calls were counted.
		thresholds tailBuckets
		// logDifference is the mean log latency of the new version less that of the old
		// one and the margin, and variance is its variance. hasLatencies is set if both
		// versions have enough latencies in the tick.
		hasLatencies            bool
		logDifference, variance float64
	}

	// eventCounts are the calls of both versions in one tick and how many of them
	// failed, or were slower than a threshold.
	eventCounts struct {
		oldCalls, oldEvents, newCalls, newEvents float64
		// overallRate is the old version's rate since the start, recentRate its rate
		// over the last seconds. For slow calls, both are counted anew when their
		// threshold changes (see eventRate).
		overallRate, recentRate float64
	}
)

// newErrorRiseTest tests whether the failure rate is higher by rise, a fraction.
func newErrorRiseTest(metric string, rise float64, span int) *sequentialTest {
	return &sequentialTest{metric: metric, weight: 1, span: span, gain: func(o *observation) float64 {
		return o.errors.logLikelihoodRatio(
			func(p float64) float64 { return p + toleratedErrorRise },
			func(p float64) float64 { return p + rise })
	}}
}

// withWeight sets the test's part of the initial wealth, relative to that of other tests.
func (t *sequentialTest) withWeight(weight float64) *sequentialTest {
	t.weight = weight
	return t
}

// withUnpairedTicks makes the test also evaluate unpaired ticks (see observeUnpaired).
func (t *sequentialTest) withUnpairedTicks() *sequentialTest {
	t.acceptsUnpaired = true
	return t
}

// newTailFactorTest tests whether factor times as many calls exceed the old version's
// 99.5th percentile.
func newTailFactorTest(metric string, factor float64, span int) *sequentialTest {
	return &sequentialTest{metric: metric, weight: 1, span: span, gain: func(o *observation) float64 {
		return o.verySlow.logLikelihoodRatio(
			func(p float64) float64 { return toleratedTailFactor * p },
			func(p float64) float64 { return factor * p })
	}}
}

// newTailRiseTest tests whether the share of calls over the old version's 99.5th
// percentile is higher by rise. Where servers differ, a version that is many times slower
// for only some of its calls, on a fast server, may have the same mean as the old version
// on a slow one. It shows here, since the percentile includes the old version's calls on
// slow servers.
func newTailRiseTest(metric string, rise float64) *sequentialTest {
	return &sequentialTest{metric: metric, weight: 1, span: 1, gain: func(o *observation) float64 {
		return o.verySlowWithoutMargin.logLikelihoodRatio(
			func(p float64) float64 { return p + toleratedTailRise },
			func(p float64) float64 { return p + rise })
	}}
}

// newSlowShareTest tests whether the share of calls over the old version's 98th percentile and
// the margin for servers is higher by rise. It detects a version that is many times slower for
// so small a share of its calls that newTailRiseTest does not; the margin makes up for the lower
// tolerance, and the lower percentile for the margin.
func newSlowShareTest(metric string, rise float64, span int) *sequentialTest {
	return &sequentialTest{metric: metric, weight: 1, span: span, gain: func(o *observation) float64 {
		return o.slow.logLikelihoodRatio(
			func(p float64) float64 { return p + toleratedSlowShare },
			func(p float64) float64 { return p + rise })
	}}
}

// newSlowdownTest tests whether latencies are longer by factor and not only by tolerated.
// It compares the logs of the latencies within the tick, so that a slowdown of both versions
// cancels out.
func newSlowdownTest(metric string, tolerated, factor float64) *sequentialTest {
	good, bad := math.Log(tolerated), math.Log(factor)
	return &sequentialTest{metric: metric, weight: 1, span: 1, gain: func(o *observation) float64 {
		if !o.hasLatencies {
			return 0
		}
		return (bad - good) * (o.logDifference - (good+bad)/2) / o.variance
	}}
}

// observe adds one tick, and evaluates the span once it is complete. Only errors, slow and
// verySlow are summed up over a span, since the tests of the other values have spans of one
// tick. A change of a threshold ends the span early, since counts above different thresholds
// cannot be summed up.
func (t *sequentialTest) observe(o *observation) {
	if t.ticks > 0 && t.pending.thresholds != o.thresholds {
		t.evaluatePending()
	}
	errors, slow, verySlow := o.errors, o.slow, o.verySlow
	if t.span > 1 {
		errors, slow, verySlow = errors.withBurstLimit(burstRate), slow.withBurstLimit(slowBurstRate), verySlow.withBurstLimit(burstRate)
	}
	if t.ticks == 0 {
		t.pending = *o
		t.pending.errors, t.pending.slow, t.pending.verySlow = errors, slow, verySlow
	} else {
		t.pending.errors.add(errors)
		t.pending.slow.add(slow)
		t.pending.verySlow.add(verySlow)
	}
	t.ticks++
	if t.ticks >= t.span {
		t.evaluatePending()
	}
}

// evaluatePending adds the gain of the pending ticks and starts a new span.
func (t *sequentialTest) evaluatePending() {
	t.ticks = 0
	t.add(t.gain(&t.pending), t.maxGain())
}

// add adds the gain of a span of ticks, limited to maxGain. A gain that is not a number is
// ignored.
func (t *sequentialTest) add(gain, maxGain float64) {
	if math.IsNaN(gain) {
		return
	}
	gain = min(gain, maxGain)
	t.total = max(t.total+gain, minTotal)
	if t.recent <= 0 && gain > 0 {
		t.restarts++
	}
	t.recent = max(t.recent+gain, 0)
}

func (t *sequentialTest) maxGain() float64 {
	if t.span > 1 {
		return maxSpanGain
	}
	return maxTickGain
}

// add adds another tick's counts. The rates stay those from before the span.
func (c *eventCounts) add(o eventCounts) {
	c.oldCalls += o.oldCalls
	c.oldEvents += o.oldEvents
	c.newCalls += o.newCalls
	c.newEvents += o.newEvents
}

// withBurstLimit limits the new version's events in a tick to one plus a share of its calls:
// burstRate plus three times the old version's recent rate.
func (c eventCounts) withBurstLimit(burstRate float64) eventCounts {
	c.newEvents = min(c.newEvents, 1+(burstRate+3*c.recentRate)*c.newCalls)
	return c
}

// withoutCrashFailures leaves out the failures that crashed upstreams may have caused.
func (c eventCounts) withoutCrashFailures() eventCounts {
	ignored := min(c.newEvents, maxCrashFailures)
	c.newCalls -= ignored
	c.newEvents -= ignored
	return c
}

// adjustedRecent returns the recent evidence, corrected for the number of starting
// points: the j-th of them gets 1/j of the false-alarm probability.
func (t *sequentialTest) adjustedRecent() float64 {
	return t.recent - math.Log(float64(max(t.restarts, 1)))
}

// logLikelihoodRatio returns the log of the likelihood ratio of the tick's counts
// between a new version with rate bad(p) and one with rate good(p), or 0 if either
// version has no calls. The old version's true rate p in this tick is not known. Both
// likelihoods are averaged over its possible values, so that a burst of failures of both
// versions is evidence for neither hypothesis.
func (c *eventCounts) logLikelihoodRatio(good, bad func(p float64) float64) float64 {
	if c.newCalls == 0 || c.oldCalls == 0 {
		return 0
	}
	var sumGood, sumBad logSum
	for i, factor := range candidateRates {
		p := clampRate(factor * c.overallRate)
		if i == 0 {
			p = clampRate(c.recentRate)
		}
		if i >= len(candidateRates)-numAbsoluteRates {
			p = factor
		}
		oldLog := logCandidateWeights[i] + logLikelihood(c.oldEvents, c.oldCalls, p)
		sumGood.add(oldLog + logLikelihood(c.newEvents, c.newCalls, clampRate(good(p))))
		sumBad.add(oldLog + logLikelihood(c.newEvents, c.newCalls, clampRate(bad(p))))
	}
	// The rate that fits both versions best counts for the good hypothesis only:
	// otherwise a shared burst whose rate lies between two candidates would look
	// like evidence of a bad version.
	fitted := clampRate((c.oldEvents + c.newEvents) / (c.oldCalls + c.newCalls))
	sumGood.add(logFittedWeight + logLikelihood(c.oldEvents, c.oldCalls, fitted) + logLikelihood(c.newEvents, c.newCalls, fitted))
	return sumBad.log() - sumGood.log()
}

// logSum adds up numbers that are given by their logs, without overflow.
type logSum struct {
	maxLog, scaled float64
	hasAny         bool
}

func (s *logSum) add(log float64) {
	switch {
	case !s.hasAny:
		s.maxLog, s.scaled, s.hasAny = log, 1, true
	case log > s.maxLog:
		s.scaled = s.scaled*math.Exp(s.maxLog-log) + 1
		s.maxLog = log
	default:
		s.scaled += math.Exp(log - s.maxLog)
	}
}

func (s *logSum) log() float64 { return s.maxLog + math.Log(s.scaled) }

// logLikelihood returns the log of the binomial probability without its coefficient,
// which cancels out in the ratio.
func logLikelihood(events, calls, p float64) float64 {
	return events*math.Log(p) + (calls-events)*math.Log1p(-p)
}

func clampRate(p float64) float64 { return min(max(p, 1e-6), 0.999) }

// numAbsoluteRates is the number of entries at the end of candidateRates that are rates and
// not factors of the overall rate.
const numAbsoluteRates = 4

var (
	// candidateRates are the rates that the old version may have in one tick: its
	// recent rate (the first entry, whose 0 is not used), its overall rate and multiples
	// of that, given as factors, and then numAbsoluteRates absolute rates that occur
	// only in a burst. The weights, as logs, are their prior probabilities.
	candidateRates      = [...]float64{0, 1, 0.4, 2.5, 6, 15, 0.02, 0.06, 0.2, 0.6}
	logFittedWeight     = math.Log(0.1)
	logCandidateWeights = logsOf([...]float64{0.35, 0.35, 0.08, 0.08, 0.04, 0.02, 0.02, 0.02, 0.02, 0.02})
)

func logsOf(weights [10]float64) [10]float64 {
	for i, w := range weights {
		weights[i] = math.Log(w)
	}
	return weights
}
