package kqcold

import "time"

const (
	// Allowed means that the call may be sent now. It is counted.
	Allowed Verdict = iota
	// Unproven means that the call may be sent only after a health check that shows the
	// upstream to be warm.
	Unproven
	// Refused means that the upstream is cold and has got all the calls that it bears.
	Refused

	// span is the time over which calls are counted: a second, and a margin for calls that
	// reach the upstream later than they were counted.
	span = 1100 * time.Millisecond
	// paceParts is the number of equal parts of a span over which the calls to a cold
	// upstream are spread. At once, they would queue for its slots, and all but the first
	// would be late.
	paceParts = 4
	// yieldTime is for how long after the refusal of a call those of lower priority are
	// refused too, while the upstream is cold: two parts of a span.
	yieldTime = span / 2
	// priorities is the number of priorities, of which 0 is the highest.
	priorities = 6
)

type (
	// Verdict is the decision about one call.
	Verdict uint8

	// Limiter counts the calls to the upstream at one address. It is not safe for concurrent
	// use.
	Limiter struct {
		// recent holds the times of the latest calls, as many as the bound, in a ring whose
		// oldest is at next.
		recent []time.Time
		next   int
		// warmAt is the latest time at which the upstream is known to have been warm, zero
		// if there is none, and sinceWarm the number of calls since then, up to the bound.
		warmAt    time.Time
		sinceWarm int
		coldUntil time.Time
		// refusedAt holds when a call of each priority was last refused.
		refusedAt [priorities]time.Time
	}
)

// New returns the limiter of an upstream that bears the given number of calls in a second,
// at least 1, and has got none yet.
func New(bound int) *Limiter { return &Limiter{recent: make([]time.Time, max(bound, 1))} }

// NewAfter returns the limiter of an upstream that may have got as many calls as it bears
// from an earlier process, until the given time.
func NewAfter(bound int, until time.Time) *Limiter {
	l := New(bound)
	for i := range l.recent {
		l.recent[i] = until
	}
	l.sinceWarm = len(l.recent)
	return l
}

// Restart records that another start of an upstream has taken the place of the former. It is
// not known to be warm, and the latest calls count against it.
func (l *Limiter) Restart() {
	l.warmAt, l.sinceWarm, l.coldUntil = time.Time{}, len(l.recent), time.Time{}
}

// Bound returns the number of calls that the upstream bears in a second.
func (l *Limiter) Bound() int { return len(l.recent) }

// Admit decides whether a call of the priority may be sent now, and counts it if it may.
func (l *Limiter) Admit(priority int, now time.Time) Verdict {
	v := l.Check(priority, now)
	if v == Allowed {
		l.recent[l.next] = now
		l.next = (l.next + 1) % len(l.recent)
		l.sinceWarm = min(l.sinceWarm+1, len(l.recent))
	}
	return v
}

// Check returns what Admit would, without counting a call that may be sent. A cold upstream
// gets no calls of a priority while those of a higher one are refused.
func (l *Limiter) Check(priority int, now time.Time) Verdict {
	priority = min(max(priority, 0), priorities-1)
	if l.isCold(now) {
		if now.Before(l.nextAt()) || l.yields(priority, now) {
			l.refusedAt[priority] = now
			return Refused
		}
		return Allowed
	}
	l.endCold()
	if l.sinceWarm < len(l.recent) || !now.Before(l.latest(len(l.recent)).Add(span)) {
		return Allowed
	}
	return Unproven
}

// yields reports whether a call of a higher priority was refused a moment ago.
func (l *Limiter) yields(priority int, now time.Time) bool {
	for _, at := range l.refusedAt[:priority] {
		if !at.IsZero() && now.Sub(at) < yieldTime {
			return true
		}
	}
	return false
}

// nextAt returns from when on a cold upstream bears a further call.
func (l *Limiter) nextAt() time.Time {
	whole := l.latest(len(l.recent)).Add(span)
	paced := l.latest(len(l.recent)/paceParts + 1).Add(span / paceParts)
	if paced.After(whole) {
		return paced
	}
	return whole
}

// RecordCold records that the upstream is cold until the given time.
func (l *Limiter) RecordCold(until time.Time) {
	if until.After(l.coldUntil) {
		l.coldUntil = until
	}
}

// RecordWarm records that a health check which was sent at that time has shown the upstream
// to be warm.
func (l *Limiter) RecordWarm(sent time.Time) {
	if !sent.After(l.warmAt) || l.isCold(sent) {
		return
	}
	l.warmAt, l.sinceWarm = sent, 0
	for _, at := range l.recent {
		if !at.Before(sent) {
			l.sinceWarm++
		}
	}
}

// Forget takes back the latest call, which the upstream turned out not to have got.
func (l *Limiter) Forget() {
	l.next = (l.next + len(l.recent) - 1) % len(l.recent)
	l.recent[l.next] = time.Time{}
	l.sinceWarm = max(l.sinceWarm-1, 0)
}

func (l *Limiter) isCold(now time.Time) bool { return now.Before(l.coldUntil) }

// endCold takes the end of a cold start, once it has passed, for the word that the upstream
// was warm at that time.
func (l *Limiter) endCold() {
	if l.coldUntil.After(l.warmAt) {
		l.RecordWarm(l.coldUntil)
	}
}

// latest returns the time of the n-th latest call, with 1 for the latest.
func (l *Limiter) latest(n int) time.Time {
	n = min(n, len(l.recent))
	return l.recent[(l.next+len(l.recent)-n)%len(l.recent)]
}
