package kqgate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/call/kqsend"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqfailing"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqslots"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// maxConnections is what an upstream takes, by the users' figures.
	maxConnections = 100
	// upstreamIdle is how long a connection to an upstream is kept without a
	// call. A new one costs the upstream about 1 ms of a slot; one that the
	// upstream closes first may have a call on its way, whose end is then unknown.
	upstreamIdle = 5 * time.Second
	// unreachableFor is for how long no connection could be made to an upstream that has
	// died: one that was full for a moment takes the next.
	unreachableFor = 100 * time.Millisecond
)

type (
	// queue decides who gets a slot.
	queue interface {
		Enter(t *kqslots.Ticket, now time.Time)
		Leave(t *kqslots.Ticket, took time.Duration, now time.Time) []*kqslots.Ticket
		Expire(t *kqslots.Ticket) bool
		Resize(count int, now time.Time) []*kqslots.Ticket
		Close() []*kqslots.Ticket
		Reopen()
		Load() kqcall.Load
		Tell(t *kqslots.Ticket, now time.Time) kqcall.Load
	}

	// upstream is one local upstream, its queue and its connections.
	upstream struct {
		client *kqsend.Client

		mu    sync.Mutex
		queue queue
		// failing follows what became of the calls of all entries.
		failing kqfailing.Failing
		slots   int
		closed  bool
		// failedSince is since when no connection could be made, nil if the last call had
		// one.
		failedSince atomic.Pointer[time.Time]
	}
)

var (
	tickets = sync.Pool{New: func() any { return &kqslots.Ticket{Ready: make(chan struct{}, 1)} }}
	timers  = sync.Pool{New: func() any { return time.NewTimer(time.Hour) }}
)

func newUpstream(a kqlocal.Announcement, q queue, d kqcall.Dialect) *upstream {
	options := []kqsend.Option{kqsend.WithMost(max(maxConnections, a.Slots)), kqsend.WithIdle(upstreamIdle)}
	if d != nil {
		options = append(options, kqsend.WithMatch(d.Belongs))
	}
	return &upstream{
		slots: a.Slots, queue: q,
		client: kqsend.New(a.Address, options...),
	}
}

// unreachable takes in how a call ended, and reports whether the upstream has taken no
// connection for a while.
func (u *upstream) unreachable(o kqcall.Outcome, now time.Time) bool {
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
		return now.Sub(*since) >= unreachableFor
	}
}

// follow takes over what the upstream announced: its slots may change while it
// runs, and one that drained may come back.
func (u *upstream) follow(a kqlocal.Announcement, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		u.closed = false
		u.queue.Reopen()
	}
	if u.slots != a.Slots {
		u.slots = a.Slots
		wake(u.queue.Resize(a.Slots, now))
	}
}

// ticket returns a ticket for the call; recycle takes it back.
func (u *upstream) ticket(c *kqcall.Call) *kqslots.Ticket {
	// The pool holds tickets only.
	t, _ := tickets.Get().(*kqslots.Ticket)
	*t = kqslots.Ticket{
		Caller: c.Caller, Route: c.Route, Class: c.Class, Nested: c.Depth > 0, Deadline: c.Deadline, Target: c.Target, Ready: t.Ready,
	}
	return t
}

func (u *upstream) recycle(t *kqslots.Ticket) { tickets.Put(t) }

// admit waits until the ticket has a slot, is refused, is given up, or its
// caller goes away.
func (u *upstream) admit(t *kqslots.Ticket, c *kqcall.Call, now time.Time) kqcall.Outcome {
	u.mu.Lock()
	u.queue.Enter(t, now)
	verdict, giveUp := t.Verdict, t.GiveUp
	u.mu.Unlock()
	switch verdict {
	case kqslots.Run:
		return kqcall.OK()
	case kqslots.Refuse:
		return t.Refusal
	}
	// The pool holds timers only.
	timer, _ := timers.Get().(*time.Timer)
	timer.Reset(giveUp.Sub(now))
	defer func() {
		timer.Stop()
		timers.Put(timer)
	}()
	gone := false
	select {
	case <-t.Ready:
		return settled(t)
	case <-timer.C:
	case <-c.Cancel.Wake():
		gone = true
	}
	u.mu.Lock()
	waited := u.queue.Expire(t)
	u.mu.Unlock()
	switch {
	case !waited:
		// Somebody settled it in the meantime, and that stands.
		<-t.Ready
		return settled(t)
	case gone:
		return kqcall.Refuse(c.Cancel.Reason())
	default:
		return t.Refusal
	}
}

// leave gives the slot and the ticket back and returns the load. How long a call took counts
// only where the upstream answered it: a cut says nothing of its work.
func (u *upstream) leave(t *kqslots.Ticket, o kqcall.Outcome, failed bool, took time.Duration, now time.Time) kqcall.Load {
	if o.Result != kqcall.Answered && o.Reason != kqcall.Timeout {
		took = 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	wake(u.queue.Leave(t, took, now))
	if o.Reason != kqcall.Cancelled {
		u.failing.Note(failed, now)
	}
	l := u.told(t, now)
	u.recycle(t)
	return l
}

// told is the load with what the gate adds to it. The lock is held.
func (u *upstream) told(t *kqslots.Ticket, now time.Time) kqcall.Load {
	l := u.queue.Tell(t, now)
	l.Failing = u.failing.Share(now)
	return l
}

func (u *upstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	wake(u.queue.Close())
}

func (u *upstream) idle() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := u.queue.Load()
	return l.Running == 0 && l.Waiting == 0
}

func (u *upstream) load(t *kqslots.Ticket, now time.Time) kqcall.Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.told(t, now)
}

func settled(t *kqslots.Ticket) kqcall.Outcome {
	if t.Verdict == kqslots.Run {
		return kqcall.OK()
	}
	return t.Refusal
}

func wake(list []*kqslots.Ticket) {
	for _, t := range list {
		t.Ready <- struct{}{}
	}
}

func saltOf(a kqname.Address) uint64 { return xxhash.Sum64String(string(a)) }
