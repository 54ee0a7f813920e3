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
	// Rollback rolls back: it ends the rollout with the old version.
	Rollback Action = "take back"

	// SmallShareStep is the step of the small share.
	SmallShareStep = 1
	// LastStep is the step before done.
	LastStep = 4

	// extendSmallShareUntil is the part of the window until which a rollout with fixed
	// times stays at the small share while there is any evidence against the version.
	extendSmallShareUntil = 0.85
	// urgentFrom is the part of the window from which the slots of cold upstreams count
	// in full, and until which an ordered rollout (one with a Plan.Duration) may delay a
	// step while the evidence against the version is over its limits.
	urgentFrom = 0.88
	// maxStepDelay is the part of the window by which a step of an ordered rollout may be
	// delayed for lack of calls or by recent evidence.
	maxStepDelay = 0.15
	// minOrderedCalls is how many calls of the new version an ordered rollout needs at each
	// step before it advances, unless the next step would be delayed beyond delayLimit: a
	// version that fails a third of its calls gets that far without a failure once in
	// 25,000 rollouts. Calls of earlier steps do not count, since after a delay several
	// steps may be due at once.
	minOrderedCalls = 25
	// pausingEvidence is the recent evidence, in nats, at which an ordered rollout does not
	// advance before delayLimit. Where a fault of the environment fails calls of both
	// versions, the evidence against a bad version may stay near this value for seconds.
	pausingEvidence = 1.6
	// maxUtilization is the part of the slots in use above which calls queue for each other
	// and bursts are shed.
	maxUtilization = 0.8
)

type (
	// Action is what to do next.
	Action string

	// Decision is an action and its reason in words.
	Decision struct {
		Action Action
		Why    string
	}

	// Inputs holds what a decision depends on.
	Inputs struct {
		Plan     kqplan.Plan
		Progress kqprogress.Progress
		Finding  kqverdict.Finding
		// CallsBeforeStep is how many of the finding's calls were made before the last step.
		CallsBeforeStep uint64
		// OldSlots and NewSlots are the slots of the upstreams that accept new
		// calls; ColdSlots are the slots of new ones that have only just started.
		OldSlots, NewSlots, ColdSlots int
		// BusySlots is how many slots of both versions are in use, or 0 if it is not known.
		BusySlots float64
	}

	// scheduleStep is one step of a schedule: its share, and when it is due as a
	// part of the plan's window.
	scheduleStep struct {
		share, due float64
	}

	// thresholds are the limits that a policy's preference sets on the evidence, in nats,
	// and on calls and slots.
	thresholds struct {
		// rollback is the evidence of all tests together at which a version is
		// rolled back at any time. IsBad adds log 2, since it checks two values.
		rollback float64
		// maxTotal is the evidence since the start at which a version is rolled
		// back when its next step is due and may not be delayed any more.
		maxTotal float64
		// maxPooledTest is the same limit for -Finding.InFavor, the evidence of the
		// test over all routes that has the most evidence against the version.
		maxPooledTest float64
		// minCalls is how many calls of the new version are needed to finish: 30
		// without a failure rule out a failure rate that is 10 points higher.
		minCalls uint64
		// minCapacity is the part of the old version's slots that the new one needs
		// at the deadline. Less than 1 is enough, since upstreams that crashed
		// together come back.
		minCapacity float64
	}
)

var (
	// schedule is indexed by step and spends 7/10 of the window at the small share. The
	// entries of step 0 and of the small share are zero, since the latter's share is
	// Plan.SmallShare and its start is the plan's. Done is due a little before the
	// deadline, to leave time for the response of the platform's key-value service.
	schedule = [...]scheduleStep{{0, 0}, {0, 0}, {0.25, 0.70}, {0.5, 0.78}, {0.65, 0.90}, {1, 0.97}}

	// orderedSchedule is for rollouts of seconds. Versions that turn bad do so in
	// the first three or four seconds, a third of the window. A clearly bad version
	// is then detected within a second at any share, so the new upstreams, which are idle
	// while the old ones are loaded, get traffic early. One that is slow in a third of its
	// calls needs some 100 of them, and each tells only when it has ended, up to two seconds
	// later: by the last step the new version has got about a seventh of the window's calls.
	// Done leaves a fifth of the window, which in windows over 15 s is longer than the lease
	// (3 s) of an owner that dies at that time.
	orderedSchedule = [...]scheduleStep{{0, 0}, {0, 0}, {0.15, 0.35}, {0.3, 0.5}, {0.45, 0.65}, {1, 0.8}}

	preferFinishingThresholds = thresholds{rollback: math.Log(1 / 0.001), maxTotal: 2, maxPooledTest: 2.2, minCapacity: 0.3}
	// orderedThresholds are for ordered rollouts, whose durations are seconds. There are
	// too few calls in that time to distinguish a version that fails a few points more
	// from a good one while servers die and restart, and holding back the new version
	// would leave its upstreams idle beside overloaded old ones. What can be detected,
	// tens of points more failures or latencies several times longer, reaches the
	// rollback threshold within a few tens of calls.
	orderedThresholds        = thresholds{rollback: math.Log(1 / 0.001), maxTotal: math.Log(1 / 0.05), maxPooledTest: math.Inf(1), minCapacity: 0.3}
	preferRollbackThresholds = thresholds{rollback: math.Log(1 / 0.01), maxTotal: 0.7, maxPooledTest: 0.3, minCalls: 30, minCapacity: 0.8}
)

// Share returns the share of traffic, from 0 to 1, that is scheduled for the
// new version at a step of the plan.
func Share(p kqplan.Plan, step int) float64 {
	if step <= SmallShareStep {
		return float64(max(step, 0)) * p.SmallShare
	}
	return scheduleStepOf(p, min(step, LastStep)).share
}

// MayExceedShare reports whether, at a step of the plan, the new version may get more
// than its share if its upstreams have a larger part of the slots. By that step most of
// the evidence is in, and a share for the old version is kept only to go on comparing.
func MayExceedShare(p kqplan.Plan, step int) bool { return p.Duration > 0 && step >= LastStep }

func scheduleStepOf(p kqplan.Plan, step int) scheduleStep {
	if p.Duration > 0 {
		return orderedSchedule[step]
	}
	return schedule[step]
}

// Decide returns what to do at the time now. It never undoes a step.
func Decide(now time.Time, s Inputs) Decision {
	switch {
	case !s.Progress.Open():
		return Decision{Hold, "it has ended"}
	case s.Progress.RolledBack:
		return Decision{Rollback, s.Progress.Why}
	case s.Plan.Cancelled:
		return Decision{Rollback, "an operator cancelled it"}
	case IsBad(s.Plan, s.Finding):
		return Decision{Rollback, Describe(s.Finding)}
	case now.Before(s.Plan.Start):
		return Decision{Hold, "its start has not come"}
	case s.Progress.Step == 0:
		return decideStart(now, s)
	}
	return decideNext(now, s)
}

// IsBad reports whether the evidence alone is enough for a rollback. The evidence
// since the start and the recent evidence each get half of the false-alarm probability.
func IsBad(p kqplan.Plan, f kqverdict.Finding) bool {
	return max(f.Total, f.Recent) >= thresholdsOf(p).rollback+math.Ln2
}

// Describe returns a finding as a phrase for a decision's reason.
func Describe(f kqverdict.Finding) string {
	return fmt.Sprintf("%s on %s, odds e^%.1f after %d calls", f.WorstMetric, f.Where, max(f.Total, f.Recent), f.Calls)
}

// decideStart decides whether a rollout at step 0 starts.
func decideStart(now time.Time, s Inputs) Decision {
	if !now.Before(s.Plan.Deadline) {
		return Decision{Rollback, "its deadline passed before it began"}
	}
	if s.NewSlots+s.ColdSlots == 0 {
		return Decision{Hold, "no upstream of the new version is ready"}
	}
	return Decision{Advance, "its start has come"}
}

// decideNext decides whether a rollout under way goes to its next step.
func decideNext(now time.Time, s Inputs) Decision {
	elapsedFraction := float64(now.Sub(s.Plan.Start)) / float64(s.Plan.Window())
	if !now.Before(s.Plan.Deadline) && (s.Progress.Step < LastStep || !hasCapacity(s, 1, 1) || !fitsBusySlots(s)) {
		return decideOverdue(s)
	}
	to := s.Progress.Step + 1
	switch {
	case elapsedFraction < scheduleStepOf(s.Plan, to).due:
		return Decision{Hold, "the next step is not due"}
	case s.Progress.Step == SmallShareStep && elapsedFraction < extendSmallShareUntil && s.Plan.Duration == 0 && max(s.Finding.Total, -s.Finding.InFavor) > 0:
		return Decision{Hold, "the small share goes on, since the evidence is not clear: " + Describe(s.Finding)}
	case s.Plan.Duration > 0 && to <= LastStep && s.stepCalls() < minOrderedCalls && elapsedFraction < delayLimit(s, to):
		return Decision{Hold, fmt.Sprintf("%d calls since the last step are too few to go on by", s.stepCalls())}
	case s.Plan.Duration > 0 && hasRecentEvidence(s) && elapsedFraction < delayLimit(s, to):
		return Decision{Hold, "the share does not grow while the evidence is against it: " + Describe(s.Finding)}
	case isOverLimits(s):
		// "The time for it" is that of the next step, not the deadline.
		return Decision{Rollback, "the time for it is up and the evidence leans against it: " + Describe(s.Finding)}
	case to > LastStep && s.Finding.Calls < thresholdsOf(s.Plan).minCalls:
		return Decision{Rollback, fmt.Sprintf("the time is up and %d calls are too few to judge by", s.Finding.Calls)}
	case to > LastStep && !fitsBusySlots(s):
		return Decision{Hold, fmt.Sprintf("%.0f slots in use have no room in %d of the new version", s.BusySlots, s.NewSlots+s.ColdSlots)}
	case to > LastStep && hasCapacity(s, 1, elapsedFraction):
		return Decision{Done, fmt.Sprintf("no evidence against it after %d calls", s.Finding.Calls)}
	case !hasCapacity(s, scheduleStepOf(s.Plan, to).share, elapsedFraction):
		return Decision{Hold, fmt.Sprintf("%d slots of the new version are too few for a share of %.2f", s.NewSlots+s.ColdSlots, scheduleStepOf(s.Plan, to).share)}
	}
	return Decision{Advance, "the next step is due and nothing speaks against it"}
}

// decideOverdue ends a rollout whose deadline passed before its last step, for example
// after an outage of all nodes that could have owned it, or before the new version could
// take all traffic. It is done only if the policy prefers finishing, there are calls, the
// evidence is within the limits and the new version can take all traffic; otherwise it is
// rolled back. The last reason also stands for evidence against the version.
func decideOverdue(s Inputs) Decision {
	if s.Plan.Prefer == kqdocument.PreferFinishing && s.Finding.Calls > 0 && !isOverLimits(s) && canCarryAll(s) {
		return Decision{Done, "the deadline came and nothing speaks against it"}
	}
	if !canCarryAll(s) {
		return Decision{Rollback, "the deadline came and its upstreams are too few"}
	}
	return Decision{Rollback, "the deadline came without enough evidence for it"}
}

// stepCalls returns the number of the new version's calls since the last step.
func (s Inputs) stepCalls() uint64 { return s.Finding.Calls - min(s.CallsBeforeStep, s.Finding.Calls) }

// delayLimit returns the part of the window until which an ordered rollout may delay a
// step, to wait for more calls or for the evidence to decrease. A service with few calls
// never gets enough of them at the small share: if every step waited until urgentFrom, the
// last steps would follow at once, and the old upstreams would be stopped with calls in
// flight. Only evidence against the version justifies the longer wait.
func delayLimit(s Inputs, to int) float64 {
	if isOverLimits(s) {
		return urgentFrom
	}
	return min(scheduleStepOf(s.Plan, to).due+maxStepDelay, urgentFrom)
}

// hasRecentEvidence reports whether the recent calls are evidence against the version,
// though not enough for a rollback.
func hasRecentEvidence(s Inputs) bool { return s.Finding.Recent >= pausingEvidence }

// isOverLimits reports whether the evidence against the version is too strong to go on once
// a step is due.
func isOverLimits(s Inputs) bool {
	limits := thresholdsOf(s.Plan)
	evidence := s.Finding.Total
	if s.Plan.Duration > 0 {
		// In a window of seconds a version may turn bad after it has gathered evidence in its
		// favor that there is no time to make up for.
		evidence = max(evidence, s.Finding.Recent)
	}
	return evidence >= limits.maxTotal || -s.Finding.InFavor >= limits.maxPooledTest
}

// hasCapacity reports whether the upstreams of the new version have at least four fifths of
// the slots that the share takes of the old version's. Upstreams that have just started
// count half, and from urgentFrom in full: a few slow calls are better than a rollout that
// does not finish in time.
func hasCapacity(s Inputs, share, elapsedFraction float64) bool {
	coldWeight := 0.5
	if elapsedFraction >= urgentFrom {
		coldWeight = 1
	}
	return float64(s.NewSlots)+coldWeight*float64(s.ColdSlots) >= 0.8*share*float64(s.OldSlots)
}

// canCarryAll reports whether the upstreams of the new version can take all traffic at the
// deadline: they have at least minCapacity of the old version's slots and fit the calls in
// flight.
func canCarryAll(s Inputs) bool {
	slots := float64(s.NewSlots + s.ColdSlots)
	return slots > 0 && slots >= thresholdsOf(s.Plan).minCapacity*float64(s.OldSlots) && fitsBusySlots(s)
}

// fitsBusySlots reports whether the calls in flight fit into maxUtilization of the new
// version's slots. The old upstreams are stopped once the rollout is done; if the traffic
// did not fit, callers would be rejected from then on, which is worse than having to order
// a good version again. If the old version has no more slots than the new one, the result
// is true, since a rollback would not help.
func fitsBusySlots(s Inputs) bool {
	slots := s.NewSlots + s.ColdSlots
	return s.BusySlots <= maxUtilization*float64(slots) || slots >= s.OldSlots
}

func thresholdsOf(p kqplan.Plan) thresholds {
	if p.Duration > 0 {
		return orderedThresholds
	}
	if p.Prefer == kqdocument.PreferTakingBack {
		return preferRollbackThresholds
	}
	return preferFinishingThresholds
}
