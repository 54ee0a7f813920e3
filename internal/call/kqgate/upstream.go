package kqgate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/call/kqsend"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqfailrate"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqslots"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// maxConnections is the number of connections that an upstream accepts, according to
	// the users.
	maxConnections = 100
	// upstreamIdleTimeout is how long a connection to an upstream is kept without a call.
	// If it were shorter, the upstream would more often spend the 1 ms of a slot that a
	// new connection costs. If it were longer than the upstream's own timeout, a call could
	// be sent on a connection that the upstream is closing, and its outcome would be
	// unknown.
	upstreamIdleTimeout = 5 * time.Second
	// unreachableAfter is how long connections must fail before an upstream counts as
	// unreachable. An upstream that was only full for a moment accepts a connection within
	// that time.
	unreachableAfter = 100 * time.Millisecond
)

type (
	// queue decides which call gets a slot.
	queue interface {
		Enter(t *kqslots.Ticket, now time.Time)
		Leave(t *kqslots.Ticket, took time.Duration, now time.Time) []*kqslots.Ticket
		Expire(t *kqslots.Ticket) bool
		Resize(count int, now time.Time) []*kqslots.Ticket
		Close(reason kqcall.Reason) []*kqslots.Ticket
		Reopen()
		Report(r kqcall.ServerReport, now time.Time) []*kqslots.Ticket
		Load() kqcall.Load
		LoadFor(t *kqslots.Ticket, now time.Time) kqcall.Load
	}

	// upstream holds the queue and the connections of one local upstream.
	upstream struct {
		client    *kqsend.Client
		cold      *coldGuard
		condition *condition

		mu    sync.Mutex
		queue queue
		// failureRate is the failure rate of the upstream's calls from all entries.
		failureRate kqfailrate.FailureRate
		slots       int
		closed      bool
		// failedSince is when calls began to end with ConnectFailed, nil if the last call
		// ended otherwise.
		failedSince atomic.Pointer[time.Time]
	}
)

var (
	tickets = sync.Pool{New: func() any { return &kqslots.Ticket{Ready: make(chan struct{}, 1)} }}
	timers  = sync.Pool{New: func() any { return time.NewTimer(time.Hour) }}
)

func newUpstream(a kqlocal.Announcement, q queue, d kqcall.Dialect, r ConditionRecorder, m kqsend.Memory) *upstream {
	options := []kqsend.Option{kqsend.WithMaxConnections(connectionsFor(a.Slots)), kqsend.WithIdleTimeout(upstreamIdleTimeout), kqsend.WithMemory(m)}
	if d != nil {
		options = append(options, kqsend.WithResponseMatcher(d.IsAnswer))
	}
	return &upstream{
		slots: a.Slots, queue: q,
		client:    kqsend.New(a.Address, options...),
		cold:      newColdGuard(a.Address),
		condition: newCondition(r),
	}
}

// connectionsFor returns how many connections an upstream with the slots may get.
func connectionsFor(slots int) int { return max(maxConnections, slots) }

// updateUnreachable records whether a call ended with ConnectFailed, and reports whether that
// has been every call's outcome for at least unreachableAfter.
func (u *upstream) updateUnreachable(o kqcall.Outcome, now time.Time) bool {
	since := u.failedSince.Load()
	switch {
	case o.Reason != kqcall.ConnectFailed:
		if since != nil {
			u.failedSince.Store(nil)
		}
		return false
	case since == nil:
		u.failedSince.Store(&now)
		return false
	default:
		return now.Sub(*since) >= unreachableAfter
	}
}

// update applies the latest announcement. The number of slots may change while the
// upstream runs, and an upstream that was draining may take calls again.
func (u *upstream) update(a kqlocal.Announcement, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		u.closed = false
		u.queue.Reopen()
	}
	if u.slots != a.Slots {
		u.slots = a.Slots
		u.client.SetMaxConnections(connectionsFor(a.Slots))
		wake(u.queue.Resize(a.Slots, now))
	}
}

// newTicket returns a ticket for the call from the pool; recycle puts it back.
func (u *upstream) newTicket(c *kqcall.Call) *kqslots.Ticket {
	// The pool holds tickets only.
	t, _ := tickets.Get().(*kqslots.Ticket)
	*t = kqslots.Ticket{
		Caller: c.Caller, Route: c.Route, Class: c.EffectiveClass(), Workspace: c.Workspace, RouteClass: c.Class,
		Nested: c.Depth > 0, Deadline: c.Deadline, Target: c.Target, Ready: t.Ready,
	}
	return t
}

func (u *upstream) recycle(t *kqslots.Ticket) { tickets.Put(t) }

// admit waits until the queue gives the ticket a slot or refuses it, its maximum wait is
// over, or the call is cancelled. It returns kqcall.OK() if the call got a slot.
func (u *upstream) admit(t *kqslots.Ticket, c *kqcall.Call, now time.Time) kqcall.Outcome {
	u.mu.Lock()
	u.queue.Enter(t, now)
	verdict, expireAt := t.Verdict, t.ExpireAt
	u.mu.Unlock()
	switch verdict {
	case kqslots.Run:
		return kqcall.OK()
	case kqslots.Refuse:
		return t.Refusal
	}
	// The pool holds timers only.
	timer, _ := timers.Get().(*time.Timer)
	timer.Reset(expireAt.Sub(now))
	defer func() {
		timer.Stop()
		timers.Put(timer)
	}()
	cancelled := false
	select {
	case <-t.Ready:
		return admission(t)
	case <-timer.C:
	case <-c.Cancel.Signal():
		cancelled = true
	}
	u.mu.Lock()
	stillWaiting := u.queue.Expire(t)
	u.mu.Unlock()
	switch {
	case !stillWaiting:
		// The queue decided in the meantime, and its decision holds.
		<-t.Ready
		return admission(t)
	case cancelled:
		return kqcall.Refuse(c.Cancel.Reason())
	default:
		return t.Refusal
	}
}

// turnAway recycles the ticket of a call that got no slot, and returns the call's outcome with
// the load.
func (u *upstream) turnAway(t *kqslots.Ticket, o kqcall.Outcome, now time.Time) (kqcall.Outcome, kqcall.Load) {
	load := u.load(t, now)
	u.recycle(t)
	if o.Reason == kqcall.Cold || o.Reason == kqcall.Limited {
		load = fullLoad(load)
	}
	return o, load
}

// releaseSlot releases the slot, records whether the call failed unless its caller
// disconnected or it was not sent, recycles the ticket and returns the load. The queue learns from the call's
// duration only if the upstream answered or the call timed out: a broken connection says
// nothing about how long the work takes.
func (u *upstream) releaseSlot(t *kqslots.Ticket, o kqcall.Outcome, failed bool, took time.Duration, now time.Time) kqcall.Load {
	if o.Result != kqcall.Answered && o.Reason != kqcall.Timeout {
		took = 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	wake(u.queue.Leave(t, took, now))
	switch o.Reason {
	case kqcall.Cancelled, kqcall.Cold, kqcall.Limited, kqcall.Quarantined:
	default:
		u.failureRate.Record(failed, now)
	}
	l := u.loadLocked(t, now)
	u.recycle(t)
	return l
}

// loadLocked returns the queue's load plus the failure rate and the wait for the upstream's
// limit. The caller holds u.mu.
func (u *upstream) loadLocked(t *kqslots.Ticket, now time.Time) kqcall.Load {
	l := u.queue.LoadFor(t, now)
	l.FailureRate = u.failureRate.Rate(now)
	l.Wait = max(l.Wait, u.condition.wait(kqslots.Priority(t.Class, t.Nested), now))
	return l
}

// report passes on what an answer of the upstream says of its load, if it does.
func (u *upstream) report(r kqcall.ServerReport, now time.Time) {
	if r == (kqcall.ServerReport{}) {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	wake(u.queue.Report(r, now))
}

// close refuses waiting and new calls for the reason until update reopens the queue.
func (u *upstream) close(reason kqcall.Reason) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	wake(u.queue.Close(reason))
}

// sweep closes connections that have been idle for too long and returns how many are open.
func (u *upstream) sweep(now time.Time) int { return u.client.Sweep(now) + u.cold.client.Sweep(now) }

// isIdle reports whether no call runs or waits.
func (u *upstream) isIdle() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := u.queue.Load()
	return l.Running == 0 && l.Waiting == 0
}

// load returns what loadLocked does, and takes u.mu itself.
func (u *upstream) load(t *kqslots.Ticket, now time.Time) kqcall.Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.loadLocked(t, now)
}

// admission returns the outcome of a ticket that the queue has decided on.
func admission(t *kqslots.Ticket) kqcall.Outcome {
	if t.Verdict == kqslots.Run {
		return kqcall.OK()
	}
	return t.Refusal
}

// wake signals each ticket's waiting call that the queue has decided on it.
func wake(list []*kqslots.Ticket) {
	for _, t := range list {
		t.Ready <- struct{}{}
	}
}

// saltOf derives from an upstream's address the salt with which its queue hashes callers.
// Callers whose hashes collide at one upstream then do not collide at all of them.
func saltOf(a kqname.Address) uint64 { return xxhash.Sum64String(string(a)) }
