package kqslots

import (
	"math"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqfair"
)

// enqueue takes the call in if it is going to begin in time, and refuses it at
// once if not.
func (s *Slots) enqueue(t *Ticket, expected, left time.Duration, now time.Time) {
	t.promised = s.expectWait(t, expected, now)
	wait := time.Duration(float64(t.promised) * s.misjudged())
	share := [levels]float64{nestedWait, criticalWait, normalWait, backgroundWait}[t.level]
	allowed := s.allowed(t, wait, time.Duration(share*float64(left)), now)
	// A call that has waited twice as long as it was promised at most, and for
	// some calls more than that, has met an upstream that became slower.
	most := max(2*allowed, allowed+slack*expected)
	if t.aims() && !s.outOfReach(t, expected, now) {
		t.begin = t.Target.Add(-time.Duration(spread * float64(expected)))
		if t.tardy = now.Add(wait).After(t.begin); t.tardy {
			wait += s.expectTardy(t, expected)
		} else {
			allowed = max(allowed, t.begin.Sub(now))
		}
		most = allowed
	}
	if wait > allowed || wait+expected > left {
		t.refuse(kqcall.QueueFull, s.retryAfter())
		return
	}
	t.Verdict = Wait
	t.GiveUp = now.Add(min(most, max(left-expected, 0)))
	s.push(t, expected, now)
}

// outOfReach reports whether the upstream is too slow for the route's target even when
// nobody waits. All of the route's calls would count as late then, and be refused for the
// sake of less important ones that are not.
func (s *Slots) outOfReach(t *Ticket, expected time.Duration, now time.Time) bool {
	longest := max(s.targets[t.Route], t.Target.Sub(now))
	if _, ok := s.targets[t.Route]; ok || len(s.targets) < mostTargets {
		s.targets[t.Route] = longest - longest/forgetTarget
	}
	return time.Duration(spread*float64(expected)) > longest
}

// aims reports whether the call is served by what is left until its target. A nested one
// is not: without an answer, late or not, the work of the call that waits for it is lost.
func (t *Ticket) aims() bool { return !t.Nested && !t.Target.IsZero() }

func (s *Slots) push(t *Ticket, expected time.Duration, since time.Time) {
	t.place = kqfair.Place{Caller: t.Caller, Work: expected, Since: since, Owner: t}
	s.lane(t).Push(&t.place)
}

// allowed returns how long a call may wait that cannot make its target, or has none: most,
// or less once its caller's calls have had to wait for long. A nested call's have their
// lane to themselves: what they wait for is the work of the calls that run, not a burst.
func (s *Slots) allowed(t *Ticket, wait, most time.Duration, now time.Time) time.Duration {
	line := s.lanes(t)[t.level]
	line.Note(t.Caller, wait < most/standingWait/calm, now)
	if !t.Nested && line.Standing(t.Caller, now) > standing {
		most /= standingWait
	}
	return max(most, leastWait)
}

// expectTardy returns how much longer a call waits that cannot make its target: for those
// alike before it, by the part of the slots that the others have left them lately.
func (s *Slots) expectTardy(t *Ticket, expected time.Duration) time.Duration {
	ahead := s.tardyLanes[t.level].Ahead(t.Caller) + expected
	for i := range t.level {
		ahead += s.tardyLanes[i].Work()
	}
	return time.Duration(float64(ahead) / (max(s.spare, leastSpare) * float64(max(s.limit.Allowed(), 1))))
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
		s.learn(t, now)
		switch {
		case !now.Before(t.GiveUp):
			// Its time to give up has come while the slot was taken; the caller is
			// told now rather than by a call that would be done too late.
			t.refuse(kqcall.Late, s.retryAfter())
		case !t.tardy && !t.begin.IsZero() && now.After(t.begin):
			t.tardy = true
			if now.Add(s.expectTardy(t, t.place.Work)).Before(t.GiveUp) {
				s.push(t, t.place.Work, t.place.Since)
				continue
			}
			t.refuse(kqcall.Late, s.retryAfter())
		default:
			s.start(t, t.tardy)
		}
		settled = append(settled, t)
	}
	return settled
}

// next returns the lanes that the next free slot goes to: short calls until
// they have the half that is kept for them, then long jobs up to their most.
func (s *Slots) next(now time.Time) *[levels]*kqfair.Queue {
	short, long := lengthOf(&s.shortLanes) > 0, lengthOf(&s.longLanes) > 0 && s.room(true, now)
	kept := s.limit.Allowed() - s.longMost(now)
	switch {
	case short && (!long || s.running-s.runningLong < kept):
		return &s.shortLanes
	case long:
		return &s.longLanes
	case lengthOf(&s.tardyLanes) > 0:
		return &s.tardyLanes
	default:
		return nil
	}
}

// pop takes the next call of the most important class that waits.
func (s *Slots) pop(lanes *[levels]*kqfair.Queue, now time.Time) *Ticket {
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

// misjudged is how many times longer calls have waited lately than they were expected to.
func (s *Slots) misjudged() float64 {
	if s.promised <= 0 {
		return 1
	}
	return min(max(s.waited/s.promised, 1), mostMisjudged)
}

// learn takes in how long a call waited.
func (s *Slots) learn(t *Ticket, now time.Time) {
	if t.tardy {
		return
	}
	s.waited += (now.Sub(t.place.Since).Seconds() - s.waited) / learnOver
	s.promised += (t.promised.Seconds() - s.promised) / learnOver
}

// start gives the ticket a slot; spare tells that nobody had to wait for it who could
// still make a target.
func (s *Slots) start(t *Ticket, spare bool) {
	share := 0.0
	if spare {
		share = 1
	}
	s.spare += (share - s.spare) / spareOver
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

// longMost is how many slots long jobs may have: all but what short calls need, which is
// at most half, and one at least, or all while no short calls come. An upstream that has
// become slow and answers a few requests of a millisecond beside its calls would serve
// half of what it can if half were kept for those.
func (s *Slots) longMost(now time.Time) int {
	if now.Sub(s.short.at) > shortIdle {
		return s.limit.Allowed()
	}
	kept := max(int(math.Ceil(keptTimes*s.short.slots(now))), 1)
	return max(s.limit.Allowed()-min(kept, s.limit.Allowed()/2), 1)
}

func (s *Slots) lanes(t *Ticket) *[levels]*kqfair.Queue {
	if t.long {
		return &s.longLanes
	}
	return &s.shortLanes
}

func (s *Slots) lane(t *Ticket) *kqfair.Queue {
	if t.tardy {
		return s.tardyLanes[t.level]
	}
	return s.lanes(t)[t.level]
}

func (s *Slots) waiting() int {
	return lengthOf(&s.shortLanes) + lengthOf(&s.longLanes) + lengthOf(&s.tardyLanes)
}

func lengthOf(lanes *[levels]*kqfair.Queue) int {
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
	for i := range levels {
		work += s.shortLanes[i].Work() + s.longLanes[i].Work() + s.tardyLanes[i].Work()
	}
	return max(work/time.Duration(max(s.limit.Allowed(), 1)), minRetryAfter)
}
