package kqslots

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqfair"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqlimit"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqwork"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// Run tells that the call has a slot; Leave gives it back.
	Run Verdict = iota + 1
	// Wait tells that the call is in the queue.
	Wait
	// Refuse tells that the call does not run; its Refusal says why.
	Refuse

	// levels are the order in which calls are served: nested ones, then the classes.
	levels = 4
	// shares of the time left that a class's call may wait.
	nestedWait, criticalWait, normalWait, backgroundWait = 0.6, 0.6, 0.6, 0.125
	// standing is when a line is in no burst any more; standingWait then divides
	// the shares further, until a wait is under a calm-th of what that leaves.
	standing     = 4 * time.Second
	standingWait = 10
	calm         = 4
	// spread is how many times its expected work a call must begin before its target: one
	// that begins later seldom makes it, and has another come too late in its place.
	spread = 1.2
	// leastWait is what is allowed at least: a few calls in the queue keep the slots in
	// use between two arrivals.
	leastWait = 20 * time.Millisecond
	// spareOver is how many calls the spare part of the slots is taken over, and
	// leastSpare what is reckoned with at least.
	spareOver  = 32
	leastSpare = 0.01
	// learnOver is how many calls a mistaken expectation is taken over, and mostMisjudged
	// the most that it is corrected by.
	learnOver     = 32
	mostMisjudged = 4
	// mostTargets bounds the routes whose targets are known, and forgetTarget is the part
	// of one that is forgotten with each call: operators may change it.
	mostTargets  = 256
	forgetTarget = 1000
	// slack is how many calls' work a short wait may be mistaken by.
	slack = 8
	// noticed is the mean time between two slots that long jobs free from which on
	// a short call that waits for one is noticed: a quarter of the time that callers
	// of short calls commonly allow.
	noticed = 100 * time.Millisecond
	// shortIdle is how long after the last short call slots are kept for short
	// ones; without an end, an upstream whose every route has become slow would
	// use half of its slots.
	shortIdle = time.Second
	// minRetryAfter is the least that a refused caller is told to stay away: about
	// two calls' work, in which a queue that is full has changed, and little enough
	// for the call to make a target of half a second after all.
	minRetryAfter = 250 * time.Millisecond
)

type (
	// Verdict is what becomes of a call for now.
	Verdict uint8

	// Ticket is one call at the gate. The gate fills in the first fields.
	Ticket struct {
		Caller kqname.Caller
		Route  kqname.Route
		Class  kqdocument.Class
		// Nested tells that another call waits for this one at its upstream.
		Nested   bool
		Deadline time.Time
		// Target is until when an answer has its full worth; zero states nothing.
		Target time.Time

		// Verdict and, for Refuse, Refusal are settled by Slots.
		Verdict Verdict
		Refusal kqcall.Outcome
		// GiveUp is when a waiting call is to be given up by Expire.
		GiveUp time.Time
		// Ready belongs to the gate, which wakes a waiting call through it.
		Ready chan struct{}

		place kqfair.Place
		level int
		long  bool
		// begin is until when the call must have begun to make its target, and tardy
		// tells that it cannot.
		begin time.Time
		tardy bool
		// promised is how long it was expected to wait.
		promised time.Duration
	}

	// Option sets up Slots.
	Option func(*Slots)

	// Slots decides for one upstream. It is not safe for concurrent use.
	Slots struct {
		count int
		limit *kqlimit.Limit
		work  *kqwork.Work
		// targets is the longest time that calls of a route have had left until their
		// target, which first tries have.
		targets               map[kqname.Route]time.Duration
		shortLanes, longLanes [levels]*kqfair.Queue
		// tardyLanes are for calls that cannot make their targets any more.
		tardyLanes [levels]*kqfair.Queue
		// spare is the part of the last calls' slots that nobody waited for who could
		// still make a target.
		spare float64
		// waited and promised are the means, in seconds, of what calls have waited lately
		// and of what they were expected to.
		waited, promised float64
		running          int
		runningLong      int
		closed           bool
		// exact tells that the announced slots are what the upstream runs at once.
		exact bool
		// short is what short calls ask for.
		short demand
	}
)

// New returns slots for an upstream that runs count calls at once; salt parts
// callers that another gate's hash brought together.
func New(count int, salt uint64, options ...Option) *Slots {
	s := &Slots{count: count, limit: kqlimit.New(count), work: kqwork.New(), spare: 1, targets: make(map[kqname.Route]time.Duration)}
	for i := range levels {
		s.shortLanes[i], s.longLanes[i] = kqfair.New(salt+uint64(i)), kqfair.New(salt+levels+uint64(i))
		s.tardyLanes[i] = kqfair.New(salt + 2*levels + uint64(i))
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// WithExact takes the announced slots for what the upstream really runs at once.
// Where that is so, an upstream that has become slow for another reason would lose
// slots by what is learnt of its latency, and serve still less.
func WithExact() Option { return func(s *Slots) { s.exact = true } }

// Enter settles the ticket's verdict.
func (s *Slots) Enter(t *Ticket, now time.Time) {
	t.level, t.long = 1+t.Class.Rank(), s.long(t.Route)
	if t.Nested {
		t.level = 0
	}
	expected := s.work.Expect(t.Route)
	if !t.long {
		s.short.add(expected, now)
	}
	left := t.Deadline.Sub(now)
	switch {
	case s.closed:
		t.refuse(kqcall.Draining, minRetryAfter)
	case left <= 0:
		t.refuse(kqcall.Late, 0)
	case s.room(t.long, now) && lengthOf(s.lanes(t)) == 0:
		s.lane(t).Passed(t.Caller, expected, now)
		s.start(t, true)
	default:
		s.enqueue(t, expected, left, now)
	}
}

// long reports whether calls of the route are long jobs that short ones must be
// kept from waiting for. Where a slot is free every few milliseconds all the same,
// to keep half of them for the short ones would waste what the others need.
func (s *Slots) long(r kqname.Route) bool {
	return s.work.Long(r) && s.work.Expect(r) >= noticed*time.Duration(s.limit.Allowed())
}

// Leave gives back the slot of a ticket whose call took so long at the
// upstream, and returns the tickets that this settles.
func (s *Slots) Leave(t *Ticket, took time.Duration, now time.Time) []*Ticket {
	if took > 0 && !t.long && s.runningLong == 0 && !s.exact {
		s.limit.Learn(took, s.running)
	}
	s.running--
	if t.long {
		s.runningLong--
	}
	if took > 0 {
		s.work.Learn(t.Route, took)
	}
	return s.serve(now)
}

// Expire refuses a waiting call whose time to give up has come, or whose caller
// is gone, and reports whether it did still wait.
func (s *Slots) Expire(t *Ticket) bool {
	if t.Verdict != Wait {
		return false
	}
	s.lane(t).Remove(&t.place)
	t.refuse(kqcall.Late, s.retryAfter())
	return true
}

// Resize follows a change of the upstream's slots and returns the tickets that
// this settles. Calls that run stay.
func (s *Slots) Resize(count int, now time.Time) []*Ticket {
	s.count = count
	s.limit.Announce(count)
	return s.serve(now)
}

// Close refuses all that come and returns those that waited, now refused.
func (s *Slots) Close() []*Ticket {
	s.closed = true
	var settled []*Ticket
	for _, lanes := range []*[levels]*kqfair.Queue{&s.shortLanes, &s.longLanes, &s.tardyLanes} {
		for lengthOf(lanes) > 0 {
			t := s.pop(lanes, time.Time{})
			t.refuse(kqcall.Draining, minRetryAfter)
			settled = append(settled, t)
		}
	}
	return settled
}

// Reopen lets calls in again, of an upstream that took its leave back.
func (s *Slots) Reopen() { s.closed = false }

// Load returns what callers are to know.
func (s *Slots) Load() kqcall.Load {
	return kqcall.Load{Running: s.running, Waiting: s.waiting(), Slots: s.limit.Allowed(), Work: s.work.Pace()}
}

// Tell returns the load with what a call like the ticket's would meet now.
func (s *Slots) Tell(t *Ticket, now time.Time) kqcall.Load {
	l := s.Load()
	expected, ok := s.work.Known(t.Route)
	if !ok {
		return l
	}
	l.Expected = expected
	if !s.room(t.long, now) || lengthOf(s.lanes(t)) > 0 {
		l.Wait = time.Duration(float64(s.expectWait(t, expected, now)) * s.misjudged())
	}
	return l
}
