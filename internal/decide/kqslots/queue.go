package kqslots

import (
	"math"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqfair"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqshare"
)

// enqueue queues the call if it is expected to start in time, and refuses it otherwise.
func (s *Slots) enqueue(t *Ticket, expected, left time.Duration, now time.Time) {
	takes := s.slowdown.Stretch(expected, now)
	t.expectedWait = s.expectWait(t, expected, now)
	wait := time.Duration(float64(t.expectedWait) * s.waitCorrection())
	share := [priorityLevels]float64{nestedWaitShare, criticalWaitShare, nestedWaitShare, normalWaitShare, nestedWaitShare, backgroundWaitShare, backgroundWaitShare}[t.priority]
	allowedWait := s.allowedWait(t, wait, time.Duration(share*float64(left)), now)
	// A call that is not scheduled by its target is refused after twice the allowed wait,
	// since the upstream must have become slower since the call was queued. If the allowed
	// wait is short, the estimate may be off by the work of several calls, so this is added
	// instead.
	maxWait := max(2*allowedWait, allowedWait+waitSlackCalls*takes)
	if t.hasTarget() && !s.checkTargetUnreachable(t, expected, now) {
		t.startBy = t.Target.Add(-time.Duration(targetMargin * float64(takes)))
		if t.missesTarget = now.Add(wait).After(t.startBy); t.missesTarget {
			wait += s.expectLateWait(t, expected)
		} else {
			allowedWait = max(allowedWait, t.startBy.Sub(now))
		}
		maxWait = allowedWait
	}
	if wait > allowedWait || wait+takes > left {
		t.refuse(kqcall.QueueFull, s.retryAfter())
		return
	}
	t.Verdict = Wait
	t.ExpireAt = now.Add(min(maxWait, max(left-takes, 0)))
	s.push(t, expected, now)
}

// checkTargetUnreachable updates the decaying maximum of the time that the route's calls
// have left until their target, and reports whether the upstream is too slow for it even
// when idle. Without the check, all calls of the route would count as late and be refused
// in favour of less important calls that are not.
func (s *Slots) checkTargetUnreachable(t *Ticket, expected time.Duration, now time.Time) bool {
	longestLeft := max(s.targets[t.Route], t.Target.Sub(now))
	if _, ok := s.targets[t.Route]; ok || len(s.targets) < maxTargetRoutes {
		s.targets[t.Route] = longestLeft - longestLeft/targetDecay
	}
	return time.Duration(targetMargin*float64(expected)) > longestLeft
}

// hasTarget reports whether the call is scheduled by its target. A nested call is not: the
// work of its calling call is lost unless it is answered, late or not.
func (t *Ticket) hasTarget() bool { return !t.Nested && !t.Target.IsZero() }

// key returns whose call it is, for the queues.
func (t *Ticket) key() kqshare.Key {
	return kqshare.Key{Workspace: t.Workspace, Caller: t.Caller, Rank: t.RouteClass.Rank()}
}

func (s *Slots) push(t *Ticket, expected time.Duration, since time.Time) {
	t.item = kqshare.Item{Key: t.key(), Item: kqfair.Item{Work: expected, EnqueuedAt: since, Value: t}}
	s.queue(t).Push(&t.item)
}

// allowedWait records a call's expected wait, and returns up to which expected wait it is
// queued if it has no target or cannot meet it: limit, or a fraction of it once the caller's
// calls have queued for long, but at least minAllowedWait. The fraction does not apply to
// nested calls: they have a queue of their own and wait for running calls, not for a burst
// queued before them.
func (s *Slots) allowedWait(t *Ticket, wait, limit time.Duration, now time.Time) time.Duration {
	q := s.queues(t)[t.priority]
	q.RecordWait(t.key(), wait < limit/congestedWaitDivisor/shortWaitDivisor, now)
	if !t.Nested && q.SinceLastPrompt(t.key(), now) > congestedAfter {
		limit /= congestedWaitDivisor
	}
	return max(limit, minAllowedWait)
}

// expectLateWait returns the additional wait of a call that cannot meet its target: the
// late work before it, at the recent share of slots that calls in time have not needed.
func (s *Slots) expectLateWait(t *Ticket, expected time.Duration) time.Duration {
	ahead := s.lateQueues[t.priority].WorkAhead(t.key()) + expected
	for i := range t.priority {
		ahead += s.lateQueues[i].Work()
	}
	return time.Duration(float64(ahead) / (max(s.unneeded, minUnneededShare) * float64(max(s.allowed(), 1))))
}

// expectWait returns the expected wait of a call that arrives now, from the work that is
// served before it and the slots available to short calls or long jobs.
func (s *Slots) expectWait(t *Ticket, expected time.Duration, now time.Time) time.Duration {
	queues, slots := &s.shortQueues, s.allowed()
	if t.isLongJob {
		queues, slots = &s.longQueues, s.maxLong(now)
	} else if totalLen(&s.longQueues) > 0 || s.runningLong > 0 {
		slots = max(s.allowed()-s.maxLong(now), 1)
	}
	ahead := queues[t.priority].WorkAhead(t.key())
	for i := range t.priority {
		ahead += queues[i].Work()
	}
	if t.priority == excessLevel {
		ahead += s.lateQueues[excessLevel].WorkAhead(t.key())
		for i := range excessLevel {
			ahead += s.lateQueues[i].Work()
		}
	}
	// Running calls are half done on average, and the first to finish frees its slot.
	return s.slowdown.Stretch((ahead+expected/2)/time.Duration(max(slots, 1)), now)
}

// serve starts waiting calls while slots are free. It moves calls that no longer meet their
// targets to the late queues, refuses those that have waited too long or would do so there,
// and returns the tickets that were started or refused.
func (s *Slots) serve(now time.Time) []*Ticket {
	var decided []*Ticket
	for s.running < s.allowed() && s.waiting() > 0 {
		queues := s.nextQueues(now)
		if queues == nil {
			break
		}
		t := s.pop(queues, now)
		s.recordWait(t, now)
		switch {
		case !now.Before(t.ExpireAt):
			// The call reached its maximum wait before Expire was called. Refuse it now,
			// since its answer would be too late.
			t.refuse(kqcall.NotStartedInTime, s.retryAfter())
		case !t.missesTarget && !t.startBy.IsZero() && now.After(t.startBy):
			t.missesTarget = true
			if now.Add(s.expectLateWait(t, t.item.Work)).Before(t.ExpireAt) {
				s.push(t, t.item.Work, t.item.EnqueuedAt)
				continue
			}
			t.refuse(kqcall.NotStartedInTime, s.retryAfter())
		default:
			s.start(t, t.missesTarget || t.priority == excessLevel)
		}
		decided = append(decided, t)
	}
	return decided
}

// nextQueues returns the queues that the next free slot goes to: those of short calls until
// these use their reserved slots, then those of long jobs up to their maximum, then again
// those of short calls, then those of late calls. It returns nil if no waiting call may
// start.
func (s *Slots) nextQueues(now time.Time) *[priorityLevels]*kqshare.Queue {
	short, long := totalLen(&s.shortQueues) > 0, totalLen(&s.longQueues) > 0 && s.hasFreeSlot(true, now)
	reserved := s.allowed() - s.maxLong(now)
	switch {
	case short && (!long || s.running-s.runningLong < reserved):
		return &s.shortQueues
	case long:
		return &s.longQueues
	case totalLen(&s.lateQueues) > s.lateQueues[excessLevel].Len(), s.hasSlotForExcess(now) && totalLen(&s.lateQueues) > 0:
		return &s.lateQueues
	default:
		return nil
	}
}

// pop removes the next call of the highest priority that has any waiting.
func (s *Slots) pop(queues *[priorityLevels]*kqshare.Queue, now time.Time) *Ticket {
	for _, q := range queues {
		if q.Len() == 0 {
			continue
		}
		return ticketOf(q.Pop(nearExpiry(q, now)))
	}
	return nil
}

// nearExpiry reports whether the queue's oldest call has used more than seven eighths of
// its maximum wait.
func nearExpiry(q *kqshare.Queue, now time.Time) bool {
	item := q.Oldest()
	return now.Sub(item.EnqueuedAt) > ticketOf(item).ExpireAt.Sub(item.EnqueuedAt)*7/8
}

func ticketOf(item *kqfair.Item) *Ticket {
	// Only push creates items, and it sets the value to a ticket.
	t, _ := item.Value.(*Ticket)
	return t
}

// waitCorrection returns the ratio of recent actual waits to expected ones, from 1 to
// maxWaitCorrection.
func (s *Slots) waitCorrection() float64 {
	if s.expectedWait <= 0 {
		return 1
	}
	return min(max(s.actualWait/s.expectedWait, 1), maxWaitCorrection)
}

// recordWait updates the mean actual and expected waits with those of a call that is taken
// from its queue for a free slot. Calls that miss their targets and those in excess of their
// workspace's usual load do not count: others overtake them, and their waits would make the
// expected waits of all other calls too long.
func (s *Slots) recordWait(t *Ticket, now time.Time) {
	if t.missesTarget || t.priority == excessLevel {
		return
	}
	s.actualWait += (now.Sub(t.item.EnqueuedAt).Seconds() - s.actualWait) / waitWindow
	s.expectedWait += (t.expectedWait.Seconds() - s.expectedWait) / waitWindow
}

// start gives the ticket a slot. unneeded is set if a late call could have had the slot:
// the call found it free on arrival, or is late itself.
func (s *Slots) start(t *Ticket, unneeded bool) {
	sample := 0.0
	if unneeded {
		sample = 1
	}
	s.unneeded += (sample - s.unneeded) / unneededWindow
	t.Verdict = Run
	s.running++
	if t.isLongJob {
		s.runningLong++
	}
}

func (t *Ticket) refuse(r kqcall.Reason, after time.Duration) {
	t.Verdict = Refuse
	t.Refusal = kqcall.Refuse(r)
	t.Refusal.RetryAfter = after
}

// hasFreeSlot reports whether a slot is free for a long job or a short call.
func (s *Slots) hasFreeSlot(long bool, now time.Time) bool {
	return s.running < s.allowed() && (!long || s.runningLong < s.maxLong(now))
}

// maxLong returns how many slots long jobs may use: all but those reserved for short calls
// (at least one, at most half), or all while no short calls arrive. Reserving half at all
// times would halve the throughput of an upstream that has become slow and answers a few
// requests of 1 ms beside its ordinary calls.
func (s *Slots) maxLong(now time.Time) int {
	if now.Sub(s.shortDemand.lastArrival) > reserveTimeout {
		return s.allowed()
	}
	reserved := max(int(math.Ceil(reserveFactor*s.shortDemand.meanSlots(now))), 1)
	return max(s.allowed()-min(reserved, s.allowed()/2), 1)
}

// hasSlotForExcess reports whether a slot is free for a call in excess of its workspace's usual
// load: one is kept for other calls until a second after the last of them. A call cannot be
// stopped, so that others would otherwise always wait for one to end.
func (s *Slots) hasSlotForExcess(now time.Time) bool {
	reserved := 0
	if now.Sub(s.lastUsual) <= reserveTimeout {
		reserved = 1
	}
	return s.running < s.limit.Allowed()-reserved
}

func (s *Slots) queues(t *Ticket) *[priorityLevels]*kqshare.Queue {
	if t.isLongJob {
		return &s.longQueues
	}
	return &s.shortQueues
}

func (s *Slots) queue(t *Ticket) *kqshare.Queue {
	if t.missesTarget || t.priority == excessLevel {
		return s.lateQueues[t.priority]
	}
	return s.queues(t)[t.priority]
}

func (s *Slots) waiting() int {
	return totalLen(&s.shortQueues) + totalLen(&s.longQueues) + totalLen(&s.lateQueues)
}

func totalLen(queues *[priorityLevels]*kqshare.Queue) int {
	n := 0
	for _, q := range queues {
		n += q.Len()
	}
	return n
}

// retryAfter returns the time in which the current queue will be served, without the calls in
// excess of their workspace's usual load: a refused call that is not in excess goes before them.
func (s *Slots) retryAfter() time.Duration {
	work := time.Duration(0)
	for i := range classLevels {
		work += s.shortQueues[i].Work() + s.longQueues[i].Work() + s.lateQueues[i].Work()
	}
	return max(work/time.Duration(max(s.allowed(), 1)), minRetryAfter)
}
