package kqstep

import (
	"fmt"
	"math"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqverdict"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

const (
	// Hold leaves the share as it is.
	Hold Action = "hold"
	// Advance goes to the next step.
	Advance Action = "advance"
	// Done ends the rollout with the new version.
	Done Action = "done"
	// TakeBack ends the rollout with the old version.
	TakeBack Action = "take back"

	// Small is the step of the small share.
	Small = 1
	// Last is the step before done.
	Last = 4

	// waits is the part of the window until which a version whose evidence is
	// not clear stays at the small share, and hurry that from which cold
	// upstreams are taken as they are.
	waits = 0.85
	hurry = 0.88
	// sparse is the part of the window by which a step of an ordered rollout may come
	// late for want of calls to go on by.
	sparse = 0.15
	// orderedCalls is how many calls of the new version an ordered rollout needs
	// for each step: of a version that fails a third of its calls, one in 20,000
	// gets so far without a failure.
	orderedCalls = 25
	// doubt is the recent evidence, in nats, on which an ordered rollout waits with a
	// step. Of bad versions whose upstreams' surroundings fail calls of both versions,
	// little more is known for seconds.
	doubt = 2.3
	// amply is the part of the slots in use above which calls wait for each other
	// and bursts are turned away.
	amply = 0.8
)

type (
	// Action is what to do next.
	Action string

	// Decision is an action and what it rests on, in words.
	Decision struct {
		Action Action
		Why    string
	}

	// State is what a decision is made from.
	State struct {
		Plan     kqplan.Plan
		Progress kqprogress.Progress
		Finding  kqverdict.Finding
		// OldSlots and NewSlots are the slots of the upstreams that take new
		// work; ColdSlots are those of new ones that have only just started.
		OldSlots, NewSlots, ColdSlots int
		// Busy is how many slots of both versions are in use; 0 where it is not known.
		Busy float64
	}

	// stage is a step of the schedule: its share, and when it is due as a
	// part of the plan's window.
	stage struct {
		share, due float64
	}

	// weights are what a preference makes of evidence, in nats.
	weights struct {
		// alarm is the evidence that takes a version back at any time; it
		// holds for all tests together.
		alarm float64
		// lean is the evidence that, when the time is up, is too much to go on.
		lean float64
		// doubt is the same for the test over all routes that speaks most
		// against the version, taken by itself.
		doubt float64
		// enough is how many calls of the new version it takes to keep it:
		// thirty without a failure rule out 10 points more of them.
		enough uint64
		// carry is the part of the old version's slots that the new one needs
		// at the deadline. Upstreams that died in a herd come back.
		carry float64
	}
)

var (
	// schedule spends 7 parts in 10 at the small share. Done is due a little
	// before the deadline, so that the platform's answer fits in.
	schedule = [...]stage{{0, 0}, {0, 0}, {0.25, 0.70}, {0.5, 0.78}, {0.65, 0.90}, {1, 0.97}}

	// orderedSchedule is for rollouts of seconds. Versions that turn bad do so in
	// the first three or four seconds, a third of the window; what is bad beyond
	// doubt then shows within a second at any share, so that the new upstreams,
	// which stand idle beside loaded old ones, are put to use early. Done leaves a
	// fifth of the window, which outlasts the lease of an owner that dies then.
	orderedSchedule = [...]stage{{0, 0}, {0, 0}, {0.25, 0.35}, {0.5, 0.47}, {0.65, 0.6}, {1, 0.8}}

	finishing = weights{alarm: math.Log(1 / 0.001), lean: 2, doubt: 2.2, carry: 0.3}
	// ordered is for rollouts that are ordered by a length of seconds. So few calls
	// fit into it that a version which fails a few points more cannot be told from
	// a good one among servers that die and restart, and holding it back would
	// leave its upstreams idle beside overloaded old ones. What can be told, tens
	// of points more failures or several times slower, passes the alarm within a
	// few tens of calls.
	ordered    = weights{alarm: math.Log(1 / 0.001), lean: math.Log(1 / 0.01), doubt: math.Inf(1), carry: 0.3}
	takingBack = weights{alarm: math.Log(1 / 0.01), lean: 0.7, doubt: 0.3, enough: 30, carry: 0.8}
)

// Share returns the share of traffic, from 0 to 1, that goes to the new
// version at a step of the plan.
func Share(p kqplan.Plan, step int) float64 {
	if step <= Small {
		return float64(max(step, 0)) * p.SmallShare
	}
	return stageOf(p, min(step, Last)).share
}

// Grows reports whether, at a step of the plan, the new version may get more than
// its share where its upstreams have more of the slots: it has been compared by
// then, and its share is bounded only so that the comparison goes on.
func Grows(p kqplan.Plan, step int) bool { return p.Duration > 0 && step >= Last }

func stageOf(p kqplan.Plan, step int) stage {
	if p.Duration > 0 {
		return orderedSchedule[step]
	}
	return schedule[step]
}

// Decide returns what to do at the time now. It never undoes a step.
func Decide(now time.Time, s State) Decision {
	switch {
	case !s.Progress.Open():
		return Decision{Hold, "it has ended"}
	case s.Progress.RolledBack:
		return Decision{TakeBack, s.Progress.Why}
	case s.Plan.Cancelled:
		return Decision{TakeBack, "an operator cancelled it"}
	case Bad(s.Plan, s.Finding):
		return Decision{TakeBack, Words(s.Finding)}
	case now.Before(s.Plan.Start):
		return Decision{Hold, "its start has not come"}
	case s.Progress.Step == 0:
		return begin(now, s)
	}
	return next(now, s)
}

// Bad reports whether the evidence alone takes the version back. The evidence
// since the start and the recent one each get half of the false alarms.
func Bad(p kqplan.Plan, f kqverdict.Finding) bool {
	return max(f.Total, f.Recent) >= weightsOf(p).alarm+math.Ln2
}

// Words tells a finding in a sentence's part.
func Words(f kqverdict.Finding) string {
	return fmt.Sprintf("%s on %s, odds e^%.1f after %d calls", f.WorstMetric, f.Where, max(f.Total, f.Recent), f.Calls)
}

func begin(now time.Time, s State) Decision {
	if !now.Before(s.Plan.Deadline) {
		return Decision{TakeBack, "its deadline passed before it began"}
	}
	if s.NewSlots+s.ColdSlots == 0 {
		return Decision{Hold, "no upstream of the new version is ready"}
	}
	return Decision{Advance, "its start has come"}
}

func next(now time.Time, s State) Decision {
	elapsed := float64(now.Sub(s.Plan.Start)) / float64(s.Plan.Window())
	if !now.Before(s.Plan.Deadline) && (s.Progress.Step < Last || !fits(s, 1, 1) || !room(s)) {
		return overdue(s)
	}
	to := s.Progress.Step + 1
	switch {
	case elapsed < stageOf(s.Plan, to).due:
		return Decision{Hold, "the next step is not due"}
	case s.Progress.Step == Small && elapsed < waits && s.Plan.Duration == 0 && max(s.Finding.Total, -s.Finding.InFavor) > 0:
		return Decision{Hold, "the small share goes on, since the evidence is not clear: " + Words(s.Finding)}
	case s.Plan.Duration > 0 && to <= Last && s.Finding.Calls < orderedCalls && elapsed < awaits(s, to):
		return Decision{Hold, fmt.Sprintf("%d calls are too few to go on by", s.Finding.Calls)}
	case s.Plan.Duration > 0 && to <= Last && doubted(s) && elapsed < awaits(s, to):
		return Decision{Hold, "the share does not grow while the evidence is against it: " + Words(s.Finding)}
	case leans(s):
		return Decision{TakeBack, "the time for it is up and the evidence leans against it: " + Words(s.Finding)}
	case to > Last && s.Finding.Calls < weightsOf(s.Plan).enough:
		return Decision{TakeBack, fmt.Sprintf("the time is up and %d calls are too few to judge by", s.Finding.Calls)}
	case to > Last && !room(s):
		return Decision{Hold, fmt.Sprintf("%.0f slots in use have no room in %d of the new version", s.Busy, s.NewSlots+s.ColdSlots)}
	case to > Last && fits(s, 1, elapsed):
		return Decision{Done, fmt.Sprintf("no evidence against it after %d calls", s.Finding.Calls)}
	case !fits(s, stageOf(s.Plan, to).share, elapsed):
		return Decision{Hold, fmt.Sprintf("%d slots of the new version are too few for a share of %.2f", s.NewSlots+s.ColdSlots, stageOf(s.Plan, to).share)}
	}
	return Decision{Advance, "the next step is due and nothing speaks against it"}
}

// overdue settles a rollout whose deadline came before its last step, such as
// after an outage of all who could have owned it.
func overdue(s State) Decision {
	if s.Plan.Prefer == kqdocument.PreferFinishing && s.Finding.Calls > 0 && !leans(s) && carries(s) {
		return Decision{Done, "the deadline came and nothing speaks against it"}
	}
	if !carries(s) {
		return Decision{TakeBack, "the deadline came and its upstreams are too few"}
	}
	return Decision{TakeBack, "the deadline came without enough evidence for it"}
}

// awaits returns until when, as a part of the window, an ordered rollout waits with a
// step for calls to go on by. A service of few calls never has them at the small share:
// if every step waited until the time is short, the last ones would fall into one
// moment, and the old upstreams be stopped with calls at work there. Only where
// something speaks against the version is the time used up.
func awaits(s State, to int) float64 {
	if leans(s) {
		return hurry
	}
	return stageOf(s.Plan, to).due + sparse
}

// doubted reports whether the calls of late speak against the version, though not enough
// to take it back.
func doubted(s State) bool { return s.Finding.Recent >= doubt }

func leans(s State) bool {
	w := weightsOf(s.Plan)
	return s.Finding.Total >= w.lean || -s.Finding.InFavor >= w.doubt
}

// fits reports whether the upstreams of the new version can carry the share.
// Upstreams that have just started count for half, and in full once the time
// is short: a few slow calls weigh less than a move that is not finished.
func fits(s State, share, elapsed float64) bool {
	cold := 0.5
	if elapsed >= hurry {
		cold = 1
	}
	return float64(s.NewSlots)+cold*float64(s.ColdSlots) >= 0.8*share*float64(s.OldSlots)
}

// carries reports whether the upstreams of the new version, few as they are, can take
// all traffic.
func carries(s State) bool {
	slots := float64(s.NewSlots + s.ColdSlots)
	return slots > 0 && slots >= weightsOf(s.Plan).carry*float64(s.OldSlots) && room(s)
}

// room reports whether the calls that are in flight have room in the new version's
// slots. The old upstreams are stopped once it is done: where the traffic has no room,
// callers would be turned away from then on, which is worse than a good version that
// has to be ordered once more. Where the old ones are no more, nothing is won by going
// back to them.
func room(s State) bool {
	slots := s.NewSlots + s.ColdSlots
	return s.Busy <= amply*float64(slots) || slots >= s.OldSlots
}

func weightsOf(p kqplan.Plan) weights {
	if p.Duration > 0 {
		return ordered
	}
	if p.Prefer == kqdocument.PreferTakingBack {
		return takingBack
	}
	return finishing
}
