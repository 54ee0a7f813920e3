package kqratelimit

import "time"

// Limiter holds the limit of one upstream. It is not safe for concurrent use.
type Limiter struct {
	limited bool
	limit   float64
	// since is when the upstream began to name limits, and namedAt when it last named one.
	since, namedAt time.Time
}

// New returns a limiter without a limit.
func New() *Limiter { return &Limiter{} }

// Limit returns the calls a second that the upstream takes, and whether it names a limit.
func (l *Limiter) Limit() (float64, bool) { return l.limit, l.limited }

// Since returns when the upstream began to name limits.
func (l *Limiter) Since() time.Time { return l.since }

// Name records that an answer names a limit in calls a second.
func (l *Limiter) Name(limit float64, now time.Time) {
	if !l.limited {
		l.since = now
	}
	l.limited, l.limit, l.namedAt = true, limit, now
}

// Lift records that the answer to a call that was sent at the given time names no limit. The
// limit stays if an answer has named it since: the two answers may have overtaken each other.
func (l *Limiter) Lift(sent time.Time) {
	if l.limited && sent.After(l.namedAt) {
		l.limited = false
	}
}
