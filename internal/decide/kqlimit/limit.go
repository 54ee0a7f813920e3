package kqlimit

import "time"

const (
	window  = 32
	slow    = 2.0
	quick   = 1.5
	better  = 0.8
	measure = 8
	// longest patience, in windows: some 13 s at 6 slots and 40 ms.
	longest = 63
)

// Limit learns one upstream's. It is not safe for concurrent use.
type Limit struct {
	announced, allowed int
	// alone is what calls take with at most half of the slots taken.
	alone time.Duration
	// before is what they took when slots began to be taken away.
	before time.Duration
	sum    time.Duration
	count  int
	// raised tells that the last step gave a slot back; patience is how many
	// windows pass before the next is, left how many are still to pass.
	raised         bool
	patience, left int
}

// New returns a limit that allows all announced slots.
func New(announced int) *Limit { return &Limit{announced: announced, allowed: announced} }

// Allowed returns how many calls may run at once.
func (l *Limit) Allowed() int { return l.allowed }

// Announce takes in that the upstream announced another number of slots.
func (l *Limit) Announce(slots int) {
	l.announced, l.allowed = slots, slots
	l.before, l.sum, l.count = 0, 0, 0
}

// Learn takes in how long a short call took at whose end running calls ran,
// itself among them.
func (l *Limit) Learn(took time.Duration, running int) {
	if running < l.allowed {
		l.learnAlone(took, running)
		return
	}
	l.sum += took
	if l.count++; l.count < window {
		return
	}
	mean := l.sum / window
	l.sum, l.count = 0, 0
	l.judge(mean)
}

func (l *Limit) learnAlone(took time.Duration, running int) {
	if running > max(l.announced/2, 1) {
		return
	}
	if l.alone == 0 {
		l.alone = took
	}
	l.alone += (took - l.alone) / measure
}

func (l *Limit) judge(mean time.Duration) {
	if l.alone == 0 {
		return
	}
	ratio := float64(mean) / float64(l.alone)
	switch {
	case ratio > slow && l.allowed <= max(l.announced/2, 1):
		if float64(mean) > better*float64(l.before) {
			l.alone, l.allowed, l.before = mean, l.announced, 0
			return
		}
		l.allowed = max(l.allowed-1, 1)
	case ratio > slow:
		if l.allowed == l.announced {
			l.before = mean
		}
		l.allowed--
		l.wait()
	case ratio < quick && l.left > 0:
		l.left--
	case ratio < quick && l.allowed < l.announced:
		l.allowed++
		l.raised = true
	}
}

// wait makes the next slot that is given back wait longer, if the last one was
// given back in vain.
func (l *Limit) wait() {
	if l.raised {
		l.patience = min(2*l.patience+1, longest)
	}
	l.raised, l.left = false, l.patience
}
