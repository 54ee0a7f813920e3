package kqratelimit

import (
	"math"
	"time"
)

const (
	// burstTime is the time whose tokens the bucket holds beyond leastBurst.
	burstTime  = 250 * time.Millisecond
	leastBurst = 2.0
	// probeRate is the lowest rate, in calls a second, at which an upstream gets calls
	// whatever its limit, since only its answers tell that it has changed.
	probeRate = 0.25
	// windowFactor times the limit is the number of calls a second that a window may hold,
	// and windowExtra how many more.
	windowFactor = 1.25
	windowExtra  = 2
	// growthTime is the time in which the rate doubles after the limit is lifted, and
	// growthDuration how long it is bounded for.
	growthTime     = time.Second
	growthDuration = 4 * time.Second
	// leastGrowing is the rate at which the growth begins at least, in calls a second.
	leastGrowing = 1.0
	// leastKept is the number of tokens that calls of the lowest priority leave for higher
	// ones, and keptShare the share that they leave of those beyond leastBurst.
	leastKept = 1.0
	keptShare = 0.5
	// turnCalls is after how many calls of other priorities one that was refused has its
	// turn.
	turnCalls = 4
	// yieldCalls is for how many calls' time after the refusal of a call those of lower
	// priority are refused too, between leastYield and mostYield.
	yieldCalls = 2
	leastYield = 500 * time.Millisecond
	mostYield  = 4 * time.Second
	// leastRetryAfter and mostRetryAfter bound the delay that refused callers are given.
	leastRetryAfter = 250 * time.Millisecond
	mostRetryAfter  = 5 * time.Second
	// priorities is the number of priorities, of which 0 is the highest.
	priorities = 6
)

// Limiter holds the limit of one upstream and the calls to it. It is not safe for concurrent
// use.
type Limiter struct {
	limited bool
	limit   float64
	// heard is set once an answer has told whether there is a limit, and adopted while the
	// limit is another node's word.
	heard, adopted bool
	// since is when the upstream began to name limits, namedAt when it last named one, and
	// liftedAt when it ceased to, zero if it never did.
	since, namedAt, liftedAt time.Time

	// tokens is the number of calls that may be sent at filledAt, without those that have
	// a reservation.
	tokens   float64
	filledAt time.Time
	reserved int
	sent     window
	// granted counts the calls that were allowed, and grantedAt holds its value after the
	// last call of each priority.
	granted   int
	grantedAt [priorities]int
	// refusedAt holds when a call of each priority was last refused, and promisedAt the
	// latest time that a refused caller was told to come back.
	refusedAt  [priorities]time.Time
	promisedAt time.Time
}

// New returns a limiter without a limit.
func New() *Limiter { return &Limiter{} }

// Limit returns the calls a second that the upstream takes, and whether it names a limit.
func (l *Limiter) Limit() (float64, bool) { return l.limit, l.limited }

// Since returns when the upstream began to name limits.
func (l *Limiter) Since() time.Time { return l.since }

// Name records that an answer names a limit in calls a second.
func (l *Limiter) Name(limit float64, now time.Time) {
	l.refill(now)
	l.start(limit, now)
	l.heard, l.adopted, l.namedAt = true, false, now
}

// Adopt records the limit that another node has heard of, unless an answer has told.
func (l *Limiter) Adopt(limit float64, now time.Time) {
	if !l.heard && !l.limited {
		l.start(limit, now)
		l.adopted = true
	}
}

// Lift records that the answer to a call that was sent at the given time names no limit. The
// limit stays if an answer has named it since: the two answers may have overtaken each other.
func (l *Limiter) Lift(sent, now time.Time) {
	l.heard = true
	if !l.limited || !sent.After(l.namedAt) {
		return
	}
	l.refill(now)
	l.limited = false
	if l.adopted {
		// The word was outdated, so no calls have been kept from the upstream.
		l.adopted, l.liftedAt = false, time.Time{}
		return
	}
	l.liftedAt = now
}

// Reserve reports whether a call of the priority may be sent, and if so reserves its place.
// Otherwise it returns after which time the caller should come back. Each reservation ends
// with Send or Cancel.
func (l *Limiter) Reserve(priority int, now time.Time) (retryAfter time.Duration, allowed bool) {
	priority = min(max(priority, 0), priorities-1)
	l.refill(now)
	if l.isWindowFull(now) || !l.isDue(priority, now) {
		l.refusedAt[priority] = now
		return l.promise(priority, now), false
	}
	l.tokens--
	l.reserved++
	l.granted++
	l.grantedAt[priority] = l.granted
	return 0, true
}

// Send ends a reservation whose call is sent now.
func (l *Limiter) Send(now time.Time) {
	l.reserved--
	l.sent.add(now)
}

// Cancel ends a reservation whose call is not sent.
func (l *Limiter) Cancel(now time.Time) {
	l.refill(now)
	l.reserved--
	l.tokens = min(l.tokens+1, l.room())
}

// IsActive reports whether calls are bounded: a limit is named or was until a moment ago.
func (l *Limiter) IsActive(now time.Time) bool {
	return l.limited || !l.liftedAt.IsZero() && now.Sub(l.liftedAt) < growthDuration
}

// Wait returns how long the next call of the priority would wait for its token.
func (l *Limiter) Wait(priority int, now time.Time) time.Duration {
	if !l.IsActive(now) {
		return 0
	}
	l.refill(now)
	return seconds(max(l.needed(priority)-l.tokens, 0) / l.rate(now))
}

// start begins to apply a limit. The bucket of a new one is nearly empty, since calls that
// were sent before may just arrive.
func (l *Limiter) start(limit float64, now time.Time) {
	if !l.limited {
		l.since = now
	}
	if !l.IsActive(now) {
		l.tokens, l.filledAt, l.sent = 1, now, window{}
	}
	l.limited, l.limit = true, limit
}

// refill adds the tokens of the time since the last call.
func (l *Limiter) refill(now time.Time) {
	if passed := now.Sub(l.filledAt); passed > 0 {
		l.tokens += passed.Seconds() * l.rate(now)
		l.filledAt = now
	}
	l.tokens = min(l.tokens, l.room())
}

// rate returns how many calls a second may be sent.
func (l *Limiter) rate(now time.Time) float64 {
	if l.limited {
		return max(l.limit, probeRate)
	}
	doublings := now.Sub(l.liftedAt).Seconds() / growthTime.Seconds()
	return max(l.limit, leastGrowing) * math.Exp2(min(doublings, growthDuration.Seconds()))
}

// burst returns the size of the bucket.
func (l *Limiter) burst() float64 { return leastBurst + l.rate(l.filledAt)*burstTime.Seconds() }

// room returns how many tokens fit beside the reservations.
func (l *Limiter) room() float64 { return l.burst() - float64(l.reserved) }

// needed returns how many tokens there must be for a call of the priority: its own, and those
// that it leaves for higher ones.
func (l *Limiter) needed(priority int) float64 {
	mostKept := leastKept + (l.burst()-leastBurst)*keptShare
	return 1 + mostKept*float64(priority)/(priorities-1)
}

// isWindowFull reports whether the window holds all the calls that the limit allows.
func (l *Limiter) isWindowFull(now time.Time) bool {
	if !l.limited {
		return false
	}
	return float64(l.sent.sum(now)+l.reserved) >= windowFactor*windowLength.Seconds()*l.limit+windowExtra
}

// isDue reports whether there is a token for a call of the priority.
func (l *Limiter) isDue(priority int, now time.Time) bool {
	if l.hasTurn(priority, now) {
		return l.tokens >= 1
	}
	needed := l.needed(priority)
	for lower := priority + 1; lower < priorities; lower++ {
		if l.hasTurn(lower, now) {
			// The next token is the lower priority's.
			needed++
			break
		}
	}
	return l.tokens >= needed && !l.yields(priority, now)
}

// hasTurn reports whether calls of the priority were refused a moment ago while turnCalls of
// others were allowed.
func (l *Limiter) hasTurn(priority int, now time.Time) bool {
	return l.granted-l.grantedAt[priority] >= turnCalls && l.wasRefused(priority, now)
}

// yields reports whether a call of a higher priority was refused a moment ago.
func (l *Limiter) yields(priority int, now time.Time) bool {
	for higher := range priority {
		if l.wasRefused(higher, now) {
			return true
		}
	}
	return false
}

// wasRefused reports whether a call of the priority was refused a moment ago.
func (l *Limiter) wasRefused(priority int, now time.Time) bool {
	at := l.refusedAt[priority]
	yieldTime := min(max(seconds(yieldCalls/l.rate(now)), leastYield), mostYield)
	return !at.IsZero() && now.Sub(at) < yieldTime
}

// promise returns after which time a refused caller should come back: each of several gets a
// later one, as far apart as calls may be sent.
func (l *Limiter) promise(priority int, now time.Time) time.Duration {
	next := now.Add(l.Wait(priority, now))
	if later := l.promisedAt.Add(seconds(1 / l.rate(now))); later.After(next) {
		next = later
	}
	if latest := now.Add(mostRetryAfter); next.After(latest) {
		next = latest
	}
	l.promisedAt = next
	return max(next.Sub(now), leastRetryAfter)
}

// seconds returns a number of seconds as a duration, at most an hour.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}
