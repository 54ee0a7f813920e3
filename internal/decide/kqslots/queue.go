package kqslots

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqfair"
)

// enqueue takes the call in if it is going to begin in time, and refuses it at
// once if not.
func (s *Slots) enqueue(t *Ticket, expected, left time.Duration, now time.Time) {
	wait := s.expectWait(t, expected, now)
	allowed := s.allowed(t, wait, expected, left, now)
	if wait > allowed || wait+expected > left {
		t.refuse(kqcall.QueueFull, s.retryAfter())
		return
	}
	t.Verdict = Wait
	// A call that has waited twice as long as it was promised at most, and for
	// some calls more than that, has met an upstream that became slower.
	most := max(2*allowed, allowed+slack*expected)
	t.GiveUp = now.Add(min(most, max(left-expected, 0)))
	t.place = kqfair.Place{Caller: t.Caller, Work: expected, Since: now, Owner: t}
	s.lane(t).Push(&t.place)
}

// allowed returns how long the call may be expected to wait.
func (s *Slots) allowed(t *Ticket, wait, expected, left time.Duration, now time.Time) time.Duration {
	allowed := time.Duration(float64(left) * [classes]float64{criticalWait, normalWait, backgroundWait}[t.level])
	s.lane(t).Note(t.Caller, wait < allowed/standingWait/calm, now)
	stands := s.lane(t).Standing(t.Caller, now) > standing
	if stands {
		allowed /= standingWait
	}
	if t.Target.IsZero() {
		return allowed
	}
	inTime := t.Target.Sub(now) - time.Duration(spread*float64(expected))
	if stands {
		inTime /= standingTarget
	}
	// Where the target cannot be made any more, an answer is still worth
	// something: the call waits as one without a target does.
	return max(allowed, inTime, leastWait)
}

// expectWait returns how long a call that came now would wait, by the work of
// those who would be served before it and the slots that its kind can have.
func (s *Slots) expectWait(t *Ticket, expected time.Duration, now time.Time) time.Duration {
	lanes, places := &s.shortLanes, s.limit.Allowed()
	if t.long {
		lanes, places = &s.longLanes, s.longMost(now)
	} else if lengthOf(&s.longLanes) > 0 || s.runningLong > 0 {
		places = max(s.limit.Allowed()-s.longMost(now), 1)
	}
	ahead := lanes[t.level].Ahead(t.Caller)
	for i := range t.level {
		ahead += lanes[i].Work()
	}
	// The calls that run are half done on average, and the first of them to end
	// gives up its slot.
	return (ahead + expected/2) / time.Duration(max(places, 1))
}

// serve starts waiting calls while slots are free.
func (s *Slots) serve(now time.Time) []*Ticket {
	var settled []*Ticket
	for s.running < s.limit.Allowed() && s.waiting() > 0 {
		lanes := s.next(now)
		if lanes == nil {
			break
		}
		t := s.pop(lanes, now)
		// Its time to give up has come while the slot was taken; the caller is
		// told now rather than by a call that would be done too late.
		if !now.Before(t.GiveUp) {
			t.refuse(kqcall.Late, s.retryAfter())
		} else {
			s.start(t)
		}
		settled = append(settled, t)
	}
	return settled
}

// next returns the lanes that the next free slot goes to: short calls until
// they have the half that is kept for them, then long jobs up to their most.
func (s *Slots) next(now time.Time) *[classes]*kqfair.Queue {
	short, long := lengthOf(&s.shortLanes) > 0, lengthOf(&s.longLanes) > 0 && s.room(true, now)
	kept := s.limit.Allowed() - s.longMost(now)
	switch {
	case short && (!long || s.running-s.runningLong < kept):
		return &s.shortLanes
	case long:
		return &s.longLanes
	default:
		return nil
	}
}

// pop takes the next call of the most important class that waits.
func (s *Slots) pop(lanes *[classes]*kqfair.Queue, now time.Time) *Ticket {
	for _, q := range lanes {
		if q.Len() == 0 {
			continue
		}
		return owner(q.Pop(late(q, now)))
	}
	return nil
}

// late reports whether the call that has waited longest has used seven eighths
// of the time after which it is given up.
func late(q *kqfair.Queue, now time.Time) bool {
	p := q.Oldest()
	return now.Sub(p.Since) > owner(p).GiveUp.Sub(p.Since)*7/8
}

func owner(p *kqfair.Place) *Ticket {
	// Places come from enqueue alone, which sets the owner.
	t, _ := p.Owner.(*Ticket)
	return t
}

func (s *Slots) start(t *Ticket) {
	t.Verdict = Run
	s.running++
	if t.long {
		s.runningLong++
	}
}

func (t *Ticket) refuse(r kqcall.Reason, after time.Duration) {
	t.Verdict = Refuse
	t.Refusal = kqcall.Refuse(r)
	t.Refusal.RetryAfter = after
}

// room reports whether a slot is free for a long job or a short call.
func (s *Slots) room(long bool, now time.Time) bool {
	return s.running < s.limit.Allowed() && (!long || s.runningLong < s.longMost(now))
}

// longMost is how many slots long jobs may have: half, and one at least, or all
// while no short calls come.
func (s *Slots) longMost(now time.Time) int {
	if now.Sub(s.shortSeen) > shortIdle {
		return s.limit.Allowed()
	}
	return max(s.limit.Allowed()/2, 1)
}

func (s *Slots) lanes(t *Ticket) *[classes]*kqfair.Queue {
	if t.long {
		return &s.longLanes
	}
	return &s.shortLanes
}

func (s *Slots) lane(t *Ticket) *kqfair.Queue { return s.lanes(t)[t.level] }

func (s *Slots) waiting() int { return lengthOf(&s.shortLanes) + lengthOf(&s.longLanes) }

func lengthOf(lanes *[classes]*kqfair.Queue) int {
	n := 0
	for _, q := range lanes {
		n += q.Len()
	}
	return n
}

// retryAfter tells a refused caller when the queue that stands now will be
// done.
func (s *Slots) retryAfter() time.Duration {
	work := time.Duration(0)
	for i := range classes {
		work += s.shortLanes[i].Work() + s.longLanes[i].Work()
	}
	return max(work/time.Duration(max(s.limit.Allowed(), 1)), minRetryAfter)
}
