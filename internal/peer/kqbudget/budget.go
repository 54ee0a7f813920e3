package kqbudget

import (
	"time"

	"golang.org/x/time/rate"
)

// burstSeconds is the bucket's size in seconds of the sustained rate: after an idle
// time, a change or a restarted neighbour may cause that much traffic at once.
const burstSeconds = 30

type (
	// Meter counts bytes on the wire.
	Meter interface {
		Sent(bytes int)
		Received(bytes int)
	}

	// Budget is a token bucket that charges sent bytes and tells senders of bulk traffic
	// (whole roots, objects and member records) how long to wait while it is empty. Other
	// messages, such as heartbeats, are charged but do not wait: they are small, and
	// without heartbeats peers would declare this node dead. Budget is safe for
	// concurrent use.
	Budget struct {
		next      Meter
		limiter   *rate.Limiter
		onLimited func()
	}
)

// New returns a budget of perSecond bytes per second that also reports to the next
// meter. It calls onLimited each time that bulk traffic must wait.
func New(perSecond int, next Meter, onLimited func()) *Budget {
	return &Budget{next: next, limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond*burstSeconds), onLimited: onLimited}
}

// Sent charges sent bytes, but not more than one burst per call, and reports them to
// the next meter. It may overdraw the budget.
func (b *Budget) Sent(bytes int) {
	b.next.Sent(bytes)
	if bytes > 0 {
		b.limiter.ReserveN(time.Now(), min(bytes, b.limiter.Burst()))
	}
}

// Received reports received bytes to the next meter without charging them: only the
// senders can limit them.
func (b *Budget) Received(bytes int) { b.next.Received(bytes) }

// Delay returns 0 if bulk traffic may be sent now, and otherwise how long to wait. It
// charges nothing; Sent does that when the traffic is sent.
func (b *Budget) Delay(now time.Time) time.Duration {
	tokens := b.limiter.TokensAt(now)
	if tokens > 0 {
		return 0
	}
	b.onLimited()
	return time.Duration((1 - tokens) / float64(b.limiter.Limit()) * float64(time.Second))
}
