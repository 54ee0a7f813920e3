package kqlimit

import "time"

const (
	// windowCalls is the number of calls over which the mean latency is taken.
	windowCalls = 32
	// slowRatio and fastRatio are ratios of the mean latency to the baseline: above the
	// first the limit falls, below the second it may rise. improvedRatio is the ratio of
	// the mean latency to latencyBefore above which withholding half of the slots has not
	// helped. baselineDivisor is the inverse of a call's weight in the baseline.
	slowRatio       = 2.0
	fastRatio       = 1.5
	improvedRatio   = 0.8
	baselineDivisor = 8
	// maxRaiseDelay is the longest raiseDelay, in windows: about 13 s at 6 slots and 40 ms
	// per call.
	maxRaiseDelay = 63
)

// Limit is the adaptive concurrency limit of one upstream. It is not safe for concurrent
// use.
type Limit struct {
	announced, allowed int
	// baseline is the mean latency with at most half of the slots in use, or the mean at
	// the lowered limit if lowering it did not help.
	baseline time.Duration
	// latencyBefore is the mean latency at the announced slots, before the limit fell.
	latencyBefore time.Duration
	// sum and count are the total latency and the number of the window's calls so far.
	sum   time.Duration
	count int
	// raised is set by a raise, and cleared when the limit falls from above half of the
	// announced slots. raiseDelay is how many windows below fastRatio must pass between
	// such a fall and the first raise after it, and raiseIn how many of them are left.
	// Later raises are not delayed.
	raised              bool
	raiseDelay, raiseIn int
}

// New returns a limit that allows all announced slots.
func New(announced int) *Limit { return &Limit{announced: announced, allowed: announced} }

// Allowed returns how many calls may run at once.
func (l *Limit) Allowed() int { return l.allowed }

// SetAnnounced resets the limit to a new number of announced slots. The baseline and the
// raise delay are kept.
func (l *Limit) SetAnnounced(slots int) {
	l.announced, l.allowed = slots, slots
	l.latencyBefore, l.sum, l.count = 0, 0, 0
}

// Observe records the latency of a call; running is the number of running calls when it
// ended, including itself. It must be called only for short calls and while no long job
// runs.
func (l *Limit) Observe(took time.Duration, running int) {
	if running < l.allowed {
		l.updateBaseline(took, running)
		return
	}
	l.sum += took
	if l.count++; l.count < windowCalls {
		return
	}
	mean := l.sum / windowCalls
	l.sum, l.count = 0, 0
	l.adjust(mean)
}

func (l *Limit) updateBaseline(took time.Duration, running int) {
	if running > max(l.announced/2, 1) {
		return
	}
	if l.baseline == 0 {
		l.baseline = took
	}
	l.baseline += (took - l.baseline) / baselineDivisor
}

func (l *Limit) adjust(mean time.Duration) {
	if l.baseline == 0 {
		return
	}
	ratio := float64(mean) / float64(l.baseline)
	switch {
	case ratio > slowRatio && l.allowed <= max(l.announced/2, 1):
		if float64(mean) > improvedRatio*float64(l.latencyBefore) {
			l.baseline, l.allowed, l.latencyBefore = mean, l.announced, 0
			return
		}
		l.allowed = max(l.allowed-1, 1)
	case ratio > slowRatio:
		if l.allowed == l.announced {
			l.latencyBefore = mean
		}
		l.allowed--
		l.backOff()
	case ratio < fastRatio && l.raiseIn > 0:
		l.raiseIn--
	case ratio < fastRatio && l.allowed < l.announced:
		l.allowed++
		l.raised = true
	}
}

// backOff delays the first raise after a fall by raiseDelay, which grows if the last raise
// had to be reverted.
func (l *Limit) backOff() {
	if l.raised {
		l.raiseDelay = min(2*l.raiseDelay+1, maxRaiseDelay)
	}
	l.raised, l.raiseIn = false, l.raiseDelay
}
