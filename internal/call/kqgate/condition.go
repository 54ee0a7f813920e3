package kqgate

import (
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqratelimit"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// ConditionRecorder receives what local upstreams say of themselves in their answers.
	ConditionRecorder interface {
		// LimitChanged records that an upstream named its first limit, another one or none.
		LimitChanged(l LimitChange, now time.Time)
		// LimitedCall counts a call for an upstream that names a limit.
		LimitedCall(sent bool)
		// UpstreamLeaving records that an upstream said for the first time that it leaves.
		UpstreamLeaving(a kqlocal.Announcement, now time.Time)
		// UpstreamEnded records that an upstream ended while it ran the request.
		UpstreamEnded(a kqlocal.Announcement, f kqfingerprint.Fingerprint, now time.Time)
		// ConditionInvalid records an answer whose condition cannot be read.
		ConditionInvalid(a kqlocal.Announcement, err error, now time.Time)
		// ResponseMalformed records that an upstream did not respond to a call with valid HTTP.
		ResponseMalformed(a kqlocal.Announcement, call kqcall.ID, err error, now time.Time)
	}

	// LimitChange is a change of the limit that an upstream names, in calls a second.
	LimitChange struct {
		Upstream                kqlocal.Announcement
		WasLimited, IsLimited   bool
		PreviousLimit, NewLimit float64
		// Named is how long the upstream had named limits. Sent and Refused count the
		// calls for it in that time.
		Named         time.Duration
		Sent, Refused int
	}

	// Limit is whether the upstream at an address names a limit, and which one, in calls a
	// second.
	Limit struct {
		Address   kqname.Address
		Limited   bool
		PerSecond float64
	}

	// condition tracks what one upstream says of itself. It is safe for concurrent use.
	condition struct {
		recorder ConditionRecorder

		mu            sync.Mutex
		upstream      kqlocal.Announcement
		limiter       *kqratelimit.Limiter
		leaving       bool
		sent, refused int
	}

	// permit is a call's permission to reach an upstream within its limit.
	permit struct {
		condition *condition
		priority  int
		// limiter is the one that holds the call's reservation, nil if there is none.
		limiter *kqratelimit.Limiter
	}
)

// LimitChanged implements ConditionRecorder.
func (noop) LimitChanged(LimitChange, time.Time) {}

// LimitedCall implements ConditionRecorder.
func (noop) LimitedCall(bool) {}

// UpstreamLeaving implements ConditionRecorder.
func (noop) UpstreamLeaving(kqlocal.Announcement, time.Time) {}

// UpstreamEnded implements ConditionRecorder.
func (noop) UpstreamEnded(kqlocal.Announcement, kqfingerprint.Fingerprint, time.Time) {}

// ConditionInvalid implements ConditionRecorder.
func (noop) ConditionInvalid(kqlocal.Announcement, error, time.Time) {}

// ResponseMalformed implements ConditionRecorder.
func (noop) ResponseMalformed(kqlocal.Announcement, kqcall.ID, error, time.Time) {}

func newCondition(r ConditionRecorder) *condition {
	return &condition{recorder: r, limiter: kqratelimit.New()}
}

// request asks for the permit of a call of the priority that arrives now. If the call is
// refused, it returns after which time the caller should come back.
func (n *condition) request(priority int, now time.Time) (p permit, retryAfter time.Duration, allowed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p = permit{condition: n, priority: priority}
	retryAfter, allowed = n.reserve(&p, now)
	return p, retryAfter, allowed
}

// reserve reserves a place for the call, if the limit is in force. The caller holds n.mu.
func (n *condition) reserve(p *permit, now time.Time) (retryAfter time.Duration, allowed bool) {
	if !n.limiter.IsActive(now) {
		return 0, true
	}
	if retryAfter, allowed = n.limiter.Reserve(p.priority, now); allowed {
		p.limiter = n.limiter
		return 0, true
	}
	n.refused++
	n.recorder.LimitedCall(false)
	return retryAfter, false
}

// send uses the permit for a call that is about to be sent. A call that arrived before the
// upstream named its limit needs a reservation only now, and may be refused.
func (p *permit) send(now time.Time) (retryAfter time.Duration, allowed bool) {
	n := p.condition
	n.mu.Lock()
	defer n.mu.Unlock()
	if p.limiter != n.limiter {
		if retryAfter, allowed = n.reserve(p, now); !allowed {
			return retryAfter, false
		}
	}
	if p.limiter == nil {
		return 0, true
	}
	p.limiter.Send(now)
	p.limiter = nil
	n.sent++
	n.recorder.LimitedCall(true)
	return 0, true
}

// cancel gives back the permit of a call that has not been sent. It has no effect after send.
func (p *permit) cancel(now time.Time) {
	n := p.condition
	n.mu.Lock()
	defer n.mu.Unlock()
	if p.limiter != nil {
		p.limiter.Cancel(now)
		p.limiter = nil
	}
}

// wait returns how long the next call of the priority would wait for its turn within the limit.
func (n *condition) wait(priority int, now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limiter.Wait(priority, now)
}

// limit returns the limit that the upstream names, in calls a second, and whether it names one.
func (n *condition) limit() (perSecond float64, limited bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limiter.Limit()
}

// hint returns what a node that has heard of the upstream's condition keeps of it. Without an
// instance, a departure cannot be told from that of another upstream.
func (n *condition) hint() kqcall.Hint {
	n.mu.Lock()
	defer n.mu.Unlock()
	limit, limited := n.limiter.Limit()
	return kqcall.Hint{Instance: n.upstream.Instance, StartedMS: n.upstream.StartedMS, Limited: limited, Limit: limit, Leaving: n.leaving && n.upstream.Instance != ""}
}

// adopt takes over what the node of a call knows of the announced upstream, in case that this
// process has not heard of it.
func (n *condition) adopt(a kqlocal.Announcement, h kqcall.Hint, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.restart(a, now)
	if h.Instance != a.Instance || h.StartedMS != a.StartedMS {
		return
	}
	if h.Limited {
		change := n.change(a, now)
		n.limiter.Adopt(h.Limit, now)
		n.report(change, now)
	}
	if h.Leaving {
		n.leave(now)
	}
}

// isLeaving reports whether the upstream has said that it leaves.
func (n *condition) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

// update records what the answer to a call that was sent at the given time says of the
// announced upstream, and reports whether the upstream leaves by it and had not said so before.
// A part of the answer that cannot be read changes nothing.
func (n *condition) update(a kqlocal.Announcement, c kqcall.Condition, sent, now time.Time) (leaves bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.Instance == n.upstream.Instance && a.StartedMS < n.upstream.StartedMS {
		// The answer of an earlier start says nothing of the one that has announced itself.
		return c.Leaving
	}
	n.restart(a, now)
	c.Limited, c.Leaving = c.Limited && !ignoresLimit, c.Leaving && !ignoresLeaving
	if c.Err != nil {
		n.recorder.ConditionInvalid(a, c.Err, now)
	}
	change := n.change(a, now)
	switch {
	case c.Limited:
		n.limiter.Name(c.Limit, now)
	case c.Err == nil && !keepsLimit:
		n.limiter.Lift(sent, now)
	}
	n.report(change, now)
	return c.Leaving && n.leave(now)
}

// leave records that the upstream leaves, and reports whether that is new. The caller holds
// n.mu.
func (n *condition) leave(now time.Time) bool {
	if n.leaving {
		return false
	}
	n.leaving = true
	n.recorder.UpstreamLeaving(n.upstream, now)
	return true
}

// limitRefusal returns the outcome of a call that an upstream must not get within its limit.
func limitRefusal(retryAfter time.Duration) kqcall.Outcome {
	o := kqcall.Refuse(kqcall.Limited)
	o.RetryAfter = retryAfter
	return o
}

// end reports the end of a limit whose upstream is gone.
func (n *condition) end(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change := n.change(n.upstream, now)
	n.limiter = kqratelimit.New()
	n.report(change, now)
}

// restart forgets the condition of an earlier start, or of another upstream at the address.
// The caller holds n.mu.
func (n *condition) restart(a kqlocal.Announcement, now time.Time) {
	isSame := n.upstream.Instance == a.Instance && n.upstream.StartedMS == a.StartedMS
	if !isSame {
		change := n.change(n.upstream, now)
		n.leaving, n.limiter = false, kqratelimit.New()
		n.report(change, now)
	}
	n.upstream = a
}

// change returns the beginning of a LimitChange. The caller holds n.mu.
func (n *condition) change(a kqlocal.Announcement, now time.Time) LimitChange {
	limit, limited := n.limiter.Limit()
	l := LimitChange{Upstream: a, WasLimited: limited, PreviousLimit: limit}
	if limited {
		l.Named, l.Sent, l.Refused = now.Sub(n.limiter.Since()), n.sent, n.refused
	}
	return l
}

// report completes the change and reports it if there is one. The caller holds n.mu.
func (n *condition) report(l LimitChange, now time.Time) {
	l.NewLimit, l.IsLimited = n.limiter.Limit()
	if !l.IsLimited || !l.WasLimited {
		n.sent, n.refused = 0, 0
	}
	if l.IsLimited != l.WasLimited || l.IsLimited && l.NewLimit != l.PreviousLimit {
		n.recorder.LimitChanged(l, now)
	}
}
