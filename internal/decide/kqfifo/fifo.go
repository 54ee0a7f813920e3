package kqfifo

import (
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqslots"
)

const perSlot = 10

// Queue decides for one upstream. It is not safe for concurrent use.
type Queue struct {
	count, running int
	waiting        []*kqslots.Ticket
	closed         bool
}

// New returns a queue for an upstream that runs count calls at once.
func New(count int) *Queue { return &Queue{count: count} }

// Enter settles the ticket's verdict.
func (q *Queue) Enter(t *kqslots.Ticket, now time.Time) {
	switch {
	case q.closed:
		refuse(t, kqcall.Draining)
	case !now.Before(t.Deadline):
		refuse(t, kqcall.Late)
	case q.running < q.count:
		q.running++
		t.Verdict = kqslots.Run
	case len(q.waiting) >= perSlot*q.count:
		refuse(t, kqcall.QueueFull)
	default:
		t.Verdict, t.GiveUp = kqslots.Wait, t.Deadline
		q.waiting = append(q.waiting, t)
	}
}

// Leave gives a slot back and returns the tickets that this settles.
func (q *Queue) Leave(_ *kqslots.Ticket, _ time.Duration, now time.Time) []*kqslots.Ticket {
	q.running--
	return q.serve(now)
}

// Expire refuses a waiting call and reports whether it did still wait.
func (q *Queue) Expire(t *kqslots.Ticket) bool {
	i := slices.Index(q.waiting, t)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	refuse(t, kqcall.Late)
	return true
}

// Resize follows a change of the upstream's slots.
func (q *Queue) Resize(count int, now time.Time) []*kqslots.Ticket {
	q.count = count
	return q.serve(now)
}

// Close refuses all that come and returns those that waited, now refused.
func (q *Queue) Close() []*kqslots.Ticket {
	q.closed = true
	settled := q.waiting
	for _, t := range settled {
		refuse(t, kqcall.Draining)
	}
	q.waiting = nil
	return settled
}

// Reopen lets calls in again.
func (q *Queue) Reopen() { q.closed = false }

// Load returns what callers are to know.
func (q *Queue) Load() kqcall.Load {
	return kqcall.Load{Running: q.running, Waiting: len(q.waiting), Slots: q.count}
}

// Tell returns the same: in a queue of all calls alike, no call meets anything of its own.
func (q *Queue) Tell(*kqslots.Ticket, time.Time) kqcall.Load { return q.Load() }

func (q *Queue) serve(now time.Time) []*kqslots.Ticket {
	var settled []*kqslots.Ticket
	for q.running < q.count && len(q.waiting) > 0 {
		t := q.waiting[0]
		q.waiting = q.waiting[1:]
		if now.Before(t.Deadline) {
			q.running++
			t.Verdict = kqslots.Run
		} else {
			refuse(t, kqcall.Late)
		}
		settled = append(settled, t)
	}
	return settled
}

func refuse(t *kqslots.Ticket, r kqcall.Reason) {
	t.Verdict, t.Refusal = kqslots.Refuse, kqcall.Refuse(r)
}
