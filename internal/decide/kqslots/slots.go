package kqslots

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqexcess"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqlimit"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqshare"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqslowdown"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqwork"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// Run means that the call has a slot, which Leave frees.
	Run Verdict = iota + 1
	// Wait means that the call is queued.
	Wait
	// Refuse means that the call is refused for the reason in its Refusal.
	Refuse

	// classLevels counts the priorities by class: for each of the three classes, nested
	// calls, then the others. After them, priority excessLevel is that of calls in excess of
	// their workspace's usual load.
	classLevels    = 6
	excessLevel    = classLevels
	priorityLevels = classLevels + 1
	// Limits on the expected wait of calls that have no target or cannot meet it, as shares
	// of the time left until the deadline, by priority.
	nestedWaitShare, criticalWaitShare, normalWaitShare, backgroundWaitShare = 0.6, 0.6, 0.6, 0.125
	// A caller whose calls queue for longer than congestedAfter causes overload rather than
	// a burst. Its limits are then divided by congestedWaitDivisor, until a call of it runs
	// at once or the expected waits of several in a row are below the divided limit divided
	// by shortWaitDivisor.
	congestedAfter       = 4 * time.Second
	congestedWaitDivisor = 10
	shortWaitDivisor     = 4
	// A call must start at least targetMargin times its expected work before its target.
	// Calls that start later seldom meet the target and make others miss theirs.
	targetMargin = 1.2
	// minAllowedWait is the minimum of the limits on the expected wait: a few queued calls
	// keep the slots in use between arrivals.
	minAllowedWait = 20 * time.Millisecond
	// unneededWindow is the number of calls over which the share of unneeded slots is
	// averaged; minUnneededShare is its lower bound in estimates.
	unneededWindow   = 32
	minUnneededShare = 0.01
	// waitWindow is the number of calls over which waits are averaged; maxWaitCorrection
	// bounds the correction of expected waits.
	waitWindow        = 32
	maxWaitCorrection = 4
	// maxTargetRoutes bounds the routes whose targets are remembered. Each call reduces
	// the remembered target by 1/targetDecay, since operators may change it.
	maxTargetRoutes = 256
	targetDecay     = 1000
	// waitSlackCalls is by how many calls' work the estimate of a short wait may be off.
	waitSlackCalls = 8
	// longJobSlotInterval is the mean interval between slots freed by long jobs from which
	// on they delay short calls noticeably: a quarter of the time that callers of short
	// calls commonly allow.
	longJobSlotInterval = 100 * time.Millisecond
	// reserveTimeout is how long after the last short call slots stay reserved for short
	// calls. Without it, a slot would always stay unused on an upstream that gets only long
	// jobs, such as one on which all routes have become slow.
	reserveTimeout = time.Second
	// minRetryAfter is the least delay that refused callers are given: about the work of
	// two calls, in which a full queue changes, and short enough to still meet a target of
	// half a second.
	minRetryAfter = 250 * time.Millisecond
)

type (
	// Verdict is the current decision about a call.
	Verdict uint8

	// Ticket is one call at the gate, which sets the fields up to Target and Ready.
	Ticket struct {
		Caller kqname.Caller
		Route  kqname.Route
		// Class orders the call before all else: that of its workspace, or that of its
		// route if the workspace has none.
		Class kqdocument.Class
		// Workspace is the tenant that the call is made for, empty if there is none. Its
		// calls of one Class are ordered by RouteClass.
		Workspace  kqname.Workspace
		RouteClass kqdocument.Class
		// Nested is set if the call is made by another call that waits for it.
		Nested   bool
		Deadline time.Time
		// Target is the time until which an answer has its full value; zero means none.
		Target time.Time

		// Verdict and, for Refuse, Refusal are set by Slots.
		Verdict Verdict
		Refusal kqcall.Outcome
		// ExpireAt is when the gate must call Expire if the call still waits.
		ExpireAt time.Time
		// Ready is used by the gate to wake a waiting call.
		Ready chan struct{}

		item      kqshare.Item
		priority  int
		isLongJob bool
		// startBy is the latest start that meets the target, while ExpireAt ends the wait.
		// missesTarget is set once startBy has passed or is expected to pass; such a late
		// call is still served from slots that no other call needs.
		startBy      time.Time
		missesTarget bool
		// expectedWait is the wait estimated on arrival, before correction.
		expectedWait time.Duration
	}

	// Option configures Slots.
	Option func(*Slots)

	// Slots schedules the calls of one upstream. It is not safe for concurrent use.
	Slots struct {
		announced int
		limit     *kqlimit.Limit
		work      *kqwork.Estimator
		excess    *kqexcess.Detector
		// slowdown is the upstream's by its reports. Expected work is at usual speed
		// wherever it is stored.
		slowdown kqslowdown.Tracker
		// reportedSlots bounds the calls that run at once, 0 for no bound, since a report
		// at reportedAt.
		reportedSlots int
		reportedAt    time.Time
		// targets holds the longest time that calls of each route had left until their
		// target, which is that of first attempts.
		targets                 map[kqname.Route]time.Duration
		shortQueues, longQueues [priorityLevels]*kqshare.Queue
		// lateQueues hold calls that can no longer meet their targets.
		lateQueues [priorityLevels]*kqshare.Queue
		// unneeded is the share of recently started calls that found a free slot on
		// arrival or could no longer meet their targets.
		unneeded float64
		// actualWait and expectedWait are the recent means of actual and expected waits
		// in seconds.
		actualWait, expectedWait float64
		running                  int
		runningLong              int
		closed                   bool
		closeReason              kqcall.Reason
		// fixedLimit is set if the announced slots are the upstream's real concurrency.
		fixedLimit bool
		// lastUsual is when the last call came that was not in excess of its workspace's
		// usual load.
		lastUsual time.Time
		// shortDemand is the recent demand of short calls.
		shortDemand demand
	}
)

// New returns Slots for an upstream that announces the given number of slots. With a
// different salt at each gate, callers whose hashes collide at one gate do not collide at
// all of them.
func New(announced int, salt uint64, options ...Option) *Slots {
	s := &Slots{announced: announced, limit: kqlimit.New(announced), work: kqwork.New(), excess: kqexcess.New(), unneeded: 1, targets: make(map[kqname.Route]time.Duration)}
	for i := range priorityLevels {
		s.shortQueues[i], s.longQueues[i] = kqshare.New(salt+uint64(i)), kqshare.New(salt+classLevels+uint64(i))
		s.lateQueues[i] = kqshare.New(salt + 2*classLevels + uint64(i))
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Priority returns the priority of a call, from 0, served first, to classLevels-1.
func Priority(class kqdocument.Class, nested bool) int {
	priority := 2*class.Rank() + 1
	if nested {
		priority--
	}
	return priority
}

// WithFixedLimit takes the announced slots as the upstream's real concurrency and disables
// learning the limit. Learning would reduce the throughput of such an upstream further
// when it becomes slow for another reason.
func WithFixedLimit() Option { return func(s *Slots) { s.fixedLimit = true } }

// Enter decides whether the call runs, waits or is refused, and sets its verdict.
func (s *Slots) Enter(t *Ticket, now time.Time) {
	s.expireReport(now)
	t.priority, t.isLongJob = Priority(t.Class, t.Nested), s.isLongJob(t.Route)
	expected := s.work.Expect(t.Route)
	if !t.isLongJob {
		s.shortDemand.add(s.slowdown.Stretch(expected, now), now)
	}
	// A nested call keeps its place: the work of the call that waits for it would be lost.
	if t.Workspace != "" && s.excess.Record(t.Workspace, expected, s.limit.Allowed(), now) && !t.Nested {
		t.priority = excessLevel
	} else {
		s.lastUsual = now
	}
	left := t.Deadline.Sub(now)
	switch {
	case s.closed:
		t.refuse(s.closeReason, minRetryAfter)
	case left <= 0:
		after := time.Duration(0)
		if t.Workspace != "" {
			after = minRetryAfter
		}
		t.refuse(kqcall.NotStartedInTime, after)
	case s.hasFreeSlot(t.isLongJob, now) && totalLen(s.queues(t)) == 0 && (t.priority != excessLevel || s.hasSlotForExcess(now)):
		s.queue(t).RecordUnqueued(t.key(), expected, now)
		s.start(t, true)
	default:
		s.enqueue(t, expected, left, now)
	}
}

// isLongJob reports whether calls of the route are long jobs that would delay short calls
// noticeably without reserved slots. If the route's calls alone free a slot more often than
// every longJobSlotInterval, a reserve would only waste slots.
func (s *Slots) isLongJob(r kqname.Route) bool {
	return s.work.Long(r) && s.work.Expect(r) >= longJobSlotInterval*time.Duration(s.allowed())
}

// Leave frees the slot of a call that took the given time at the upstream, or 0 if that is
// unknown, and returns the tickets whose verdicts this changes.
func (s *Slots) Leave(t *Ticket, took time.Duration, now time.Time) []*Ticket {
	s.expireReport(now)
	if took > 0 {
		usual, _ := s.work.Lookup(t.Route)
		took = s.slowdown.Normalize(took, usual, now)
	}
	if took > 0 && !t.isLongJob && s.runningLong == 0 && !s.fixedLimit {
		s.limit.Observe(took, s.running)
	}
	s.running--
	if t.isLongJob {
		s.runningLong--
	}
	if took > 0 {
		s.work.Observe(t.Route, took)
	}
	return s.serve(now)
}

// Expire refuses a call that has reached its maximum wait or whose caller has
// disconnected, and reports whether it was still waiting.
func (s *Slots) Expire(t *Ticket) bool {
	if t.Verdict != Wait {
		return false
	}
	s.queue(t).Remove(&t.item)
	t.refuse(kqcall.NotStartedInTime, s.retryAfter())
	return true
}

// Resize sets the upstream's announced slots and returns the tickets whose verdicts this
// changes. Running calls continue.
func (s *Slots) Resize(announced int, now time.Time) []*Ticket {
	s.announced = announced
	s.limit.SetAnnounced(announced)
	return s.serve(now)
}

// Close refuses all further calls and all waiting ones for the reason, and returns the
// latter.
func (s *Slots) Close(reason kqcall.Reason) []*Ticket {
	s.closed, s.closeReason = true, reason
	var decided []*Ticket
	for _, queues := range []*[priorityLevels]*kqshare.Queue{&s.shortQueues, &s.longQueues, &s.lateQueues} {
		for totalLen(queues) > 0 {
			t := s.pop(queues, time.Time{})
			t.refuse(reason, minRetryAfter)
			decided = append(decided, t)
		}
	}
	return decided
}

// Reopen admits calls again after the upstream has withdrawn its shutdown.
func (s *Slots) Reopen() { s.closed = false }

// Load returns the load that is reported to entries, with the work at usual speed.
func (s *Slots) Load() kqcall.Load {
	return kqcall.Load{Running: s.running, Waiting: s.waiting(), Slots: s.allowed(), RecentDuration: s.work.Pace()}
}

// LoadFor returns the load with the expected work and wait of a call like the ticket's,
// which are 0 if the route has no estimate of its own. Works are at the present speed.
func (s *Slots) LoadFor(t *Ticket, now time.Time) kqcall.Load {
	l := s.Load()
	slowdown, fresh := s.slowdown.Current(now)
	if fresh {
		l.Slowdown = slowdown
		l.RecentDuration = time.Duration(float64(l.RecentDuration) * slowdown)
	}
	expected, ok := s.work.Lookup(t.Route)
	if !ok {
		return l
	}
	l.ExpectedWork = expected
	if fresh {
		l.ExpectedWork = time.Duration(float64(expected) * slowdown)
	}
	if !s.hasFreeSlot(t.isLongJob, now) || totalLen(s.queues(t)) > 0 {
		l.Wait = time.Duration(float64(s.expectWait(t, expected, now)) * s.waitCorrection())
	}
	return l
}
