package kqbudget

import (
	"time"

	"golang.org/x/time/rate"
)

// burstSeconds is how many seconds' worth may be sent at once: a change or a
// restarted neighbour costs bytes now that quiet times have saved.
const burstSeconds = 30

type (
	// Meter is told of the bytes on the wire.
	Meter interface {
		Sent(bytes int)
		Received(bytes int)
	}

	// Budget charges every byte that is sent, and tells senders of bulk to wait
	// while it is overdrawn. Heartbeats and announcements are charged, never
	// held back: they are small, and without them peers would hold this node to
	// be dead. It is safe for concurrent use.
	Budget struct {
		next    Meter
		limiter *rate.Limiter
		bound   func()
	}
)

// New returns a budget of so many bytes per second, in front of the next meter;
// bound is told each time that the budget holds something back.
func New(perSecond int, next Meter, bound func()) *Budget {
	return &Budget{next: next, limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond*burstSeconds), bound: bound}
}

// Sent charges bytes; it may overdraw the budget.
func (b *Budget) Sent(bytes int) {
	b.next.Sent(bytes)
	if bytes > 0 {
		b.limiter.ReserveN(time.Now(), min(bytes, b.limiter.Burst()))
	}
}

// Received passes on what was received, which is not this node's to limit.
func (b *Budget) Received(bytes int) { b.next.Received(bytes) }

// Allow returns 0 if bulk may be sent now, and otherwise how long to wait.
func (b *Budget) Allow(now time.Time) time.Duration {
	tokens := b.limiter.TokensAt(now)
	if tokens > 0 {
		return 0
	}
	b.bound()
	return time.Duration((1 - tokens) / float64(b.limiter.Limit()) * float64(time.Second))
}
