package kqfifo

import (
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqslots"
)

const maxWaitingPerSlot = 10

// Queue schedules the calls of one upstream. It is not safe for concurrent use.
type Queue struct {
	count, running int
	waiting        []*kqslots.Ticket
	closed         bool
	closeReason    kqcall.Reason
}

// New returns a Queue for an upstream that runs count calls at once.
func New(count int) *Queue { return &Queue{count: count} }

// Enter decides whether the call runs, waits or is refused, and sets its verdict.
func (q *Queue) Enter(t *kqslots.Ticket, now time.Time) {
	switch {
	case q.closed:
		refuse(t, q.closeReason)
	case !now.Before(t.Deadline):
		refuse(t, kqcall.NotStartedInTime)
	case q.running < q.count:
		q.running++
		t.Verdict = kqslots.Run
	case len(q.waiting) >= maxWaitingPerSlot*q.count:
		refuse(t, kqcall.QueueFull)
	default:
		t.Verdict, t.ExpireAt = kqslots.Wait, t.Deadline
		q.waiting = append(q.waiting, t)
	}
}

// Leave frees a slot and returns the tickets whose verdicts this changes.
func (q *Queue) Leave(_ *kqslots.Ticket, _ time.Duration, now time.Time) []*kqslots.Ticket {
	q.running--
	return q.serve(now)
}

// Expire refuses a waiting call and reports whether it was still waiting.
func (q *Queue) Expire(t *kqslots.Ticket) bool {
	i := slices.Index(q.waiting, t)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	refuse(t, kqcall.NotStartedInTime)
	return true
}

// Resize sets the number of slots and returns the tickets whose verdicts this changes.
func (q *Queue) Resize(count int, now time.Time) []*kqslots.Ticket {
	q.count = count
	return q.serve(now)
}

// Close refuses all further calls and all waiting ones for the reason, and returns the
// latter.
func (q *Queue) Close(reason kqcall.Reason) []*kqslots.Ticket {
	q.closed, q.closeReason = true, reason
	decided := q.waiting
	for _, t := range decided {
		refuse(t, reason)
	}
	q.waiting = nil
	return decided
}

// Reopen admits calls again.
func (q *Queue) Reopen() { q.closed = false }

// Load returns the load that is reported to entries.
func (q *Queue) Load() kqcall.Load {
	return kqcall.Load{Running: q.running, Waiting: len(q.waiting), Slots: q.count}
}

// LoadFor returns the same as Load, since all calls are treated alike.
func (q *Queue) LoadFor(*kqslots.Ticket, time.Time) kqcall.Load { return q.Load() }

func (q *Queue) serve(now time.Time) []*kqslots.Ticket {
	var decided []*kqslots.Ticket
	for q.running < q.count && len(q.waiting) > 0 {
		t := q.waiting[0]
		q.waiting = q.waiting[1:]
		if now.Before(t.Deadline) {
			q.running++
			t.Verdict = kqslots.Run
		} else {
			refuse(t, kqcall.NotStartedInTime)
		}
		decided = append(decided, t)
	}
	return decided
}

func refuse(t *kqslots.Ticket, r kqcall.Reason) {
	t.Verdict, t.Refusal = kqslots.Refuse, kqcall.Refuse(r)
}

// Report implements the gate's queue. The baseline ignores what upstreams report.
func (q *Queue) Report(kqcall.ServerReport, time.Time) []*kqslots.Ticket { return nil }
