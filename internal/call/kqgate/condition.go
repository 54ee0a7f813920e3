package kqgate

import (
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqratelimit"
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
		// ConditionInvalid records an answer whose condition cannot be read.
		ConditionInvalid(a kqlocal.Announcement, err error, now time.Time)
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

	// condition tracks what one upstream says of itself. It is safe for concurrent use.
	condition struct {
		recorder ConditionRecorder

		mu            sync.Mutex
		upstream      kqlocal.Announcement
		limiter       *kqratelimit.Limiter
		leaving       bool
		sent, refused int
	}
)

// LimitChanged implements ConditionRecorder.
func (noop) LimitChanged(LimitChange, time.Time) {}

// LimitedCall implements ConditionRecorder.
func (noop) LimitedCall(bool) {}

// UpstreamLeaving implements ConditionRecorder.
func (noop) UpstreamLeaving(kqlocal.Announcement, time.Time) {}

// ConditionInvalid implements ConditionRecorder.
func (noop) ConditionInvalid(kqlocal.Announcement, error, time.Time) {}

func newCondition(r ConditionRecorder) *condition {
	return &condition{recorder: r, limiter: kqratelimit.New()}
}

// recordSent counts a call that is about to be sent.
func (n *condition) recordSent() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, limited := n.limiter.Limit(); limited {
		n.sent++
		n.recorder.LimitedCall(true)
	}
}

// update records what the answer to a call that was sent at the given time says of the
// announced upstream. A part of it that cannot be read changes nothing.
func (n *condition) update(a kqlocal.Announcement, c kqcall.Condition, sent, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.restart(a, now)
	if c.Err != nil {
		n.recorder.ConditionInvalid(a, c.Err, now)
	}
	change := n.change(a, now)
	switch {
	case c.Limited:
		n.limiter.Name(c.Limit, now)
	case c.Err == nil:
		n.limiter.Lift(sent)
	}
	n.report(change, now)
	if c.Leaving && !n.leaving {
		n.leaving = true
		n.recorder.UpstreamLeaving(a, now)
	}
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
