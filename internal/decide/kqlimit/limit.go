// Package kqlimit learns how many calls an upstream really runs at once, where
// the slots that it announced mislead.
//
// Load pattern: overload of an upstream that announces more slots than it has
// processors, locks or connections for. Its calls slow each other down: with
// every announced slot taken it answers fewer calls a second than with half of
// them, and few in time. Without a limit of our own the gate keeps it there.
//
// While all allowed slots are taken, what calls take is compared with what they
// take when at most half are. Over twice as long, and one slot less is allowed;
// under 1.5 times, one more, up to those announced, and after longer and longer
// if that proves one too many. If half of the slots have
// been taken away and calls do not get faster, the load is not the cause, such
// as behind a slow database: all slots are given back and the new time becomes
// the measure.
//
// Grounds for the figures: a limit moves after 32 calls with all slots taken, of
// which a straggler or two cannot double the mean; at 6 slots and 40 ms that is
// every 0.2 s, so that 6 slots become 3 in under a second. Twice is beyond what
// a busy but sound upstream shows at its full slots.
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
