package kqsurvey

import (
	"math"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqrolloutsim"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqstep"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqverdict"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

const (
	tick = time.Second
	// propagationTicks is how many ticks the new version still gets calls after the
	// decision to roll back: the gates' reports take up to a tick, and the decision has
	// to reach all nodes. An advance takes effect in the next tick.
	propagationTicks = 1
)

type (
	// result is the outcome of one rollout under one decider.
	result struct {
		kind    kqrolloutsim.Kind
		correct bool
		// maxBadShare is the version's largest share of traffic while it was bad.
		maxBadShare float64
		// badSeconds counts the ticks with traffic and an active regression after the
		// oracle has detected it, and badCalls the bad version's calls in them. Calls that
		// are also counted under kqevidence.ColdUpstreams count twice.
		badSeconds, badCalls float64
		// at is the last second in which a version that was rolled back could get
		// calls, or for the oracle the second of its detection; -1 if there was none.
		at int
	}

	// trial is the state of one simulated rollout.
	trial struct {
		world           *kqrolloutsim.World
		plan            kqplan.Plan
		progress        kqprogress.Progress
		evaluator       *kqverdict.Evaluator
		callsBeforeStep uint64
		// logLikelihoodRatio is the oracle's evidence so far. detectedAt is the
		// tick in which it reached threshold, -1 before.
		logLikelihoodRatio float64
		detectedAt         int
		threshold          float64
	}
)

// simulate runs one rollout with kumquatgw's decisions and, on the same calls, the
// oracle that knows the true distributions. Calls continue until the deadline; after a
// rollback they count only for the oracle. At the deadline, an oracle that has not detected
// a regression decides by the sign of its evidence.
func simulate(w *kqrolloutsim.World, prefer kqdocument.Preference) (actual, oracle result) {
	start := time.Unix(0, 0)
	t := &trial{
		world: w, evaluator: kqverdict.New(), detectedAt: -1, threshold: detectionThreshold(prefer),
		plan: kqplan.Plan{Name: "move", Start: start, Deadline: start.Add(w.Window), Prefer: prefer, SmallShare: 0.05},
	}
	actual = result{kind: w.Kind, at: -1}
	oracle = result{kind: w.Kind, at: -1}
	ended, drainedAt := false, -1
	for at := 0; at < int(w.Window/tick); at++ {
		s := w.Tick(at, kqstep.Share(t.plan, t.progress.Step), t.progress.Step <= kqstep.SmallShareStep)
		if t.observe(at, s) && oracle.at < 0 {
			oracle.at = at
		}
		if drainedAt < 0 || at <= drainedAt {
			actual.recordBadTick(t, at, s)
		}
		if ended {
			continue
		}
		t.evaluator.Observe(s.Sample)
		switch d := t.decide(start.Add(time.Duration(at+1) * tick)); d.Action {
		case kqstep.Rollback:
			ended, drainedAt, actual.at = true, at+propagationTicks, at+propagationTicks
		case kqstep.Done:
			ended = true
			actual.correct = w.Kind.Good()
		case kqstep.Advance:
			t.progress.Step++
			t.callsBeforeStep = t.evaluator.Finding().Calls
		case kqstep.Hold:
		}
	}
	if !w.Kind.Good() {
		actual.correct = actual.at >= 0
	}
	oracle.correct = (oracle.at >= 0 || t.logLikelihoodRatio > 0) != w.Kind.Good()
	return actual, oracle
}

// decide returns kumquatgw's decision at the end of a tick.
func (t *trial) decide(now time.Time) kqstep.Decision {
	s := kqstep.Inputs{Plan: t.plan, Progress: t.progress, Finding: t.evaluator.Finding(), CallsBeforeStep: t.callsBeforeStep}
	s.OldSlots, s.NewSlots, s.ColdSlots = t.world.Slots(int(now.Sub(t.plan.Start)/tick) - 1)
	return kqstep.Decide(now, s)
}

// observe adds a tick to the oracle's evidence and reports whether the oracle has
// detected a regression. For bad versions it uses only ticks with the regression.
func (t *trial) observe(at int, s kqrolloutsim.TickResult) bool {
	if !s.Bad && !t.world.Kind.Good() {
		return t.detectedAt >= 0
	}
	t.logLikelihoodRatio += s.LogLikelihoodRatio
	if t.logLikelihoodRatio >= t.threshold && t.detectedAt < 0 {
		t.detectedAt = at
	}
	return t.detectedAt >= 0
}

// recordBadTick records a bad version's traffic in one tick, if the regression is active
// in it. For a version that is never rolled back, this continues until the deadline.
func (r *result) recordBadTick(t *trial, at int, s kqrolloutsim.TickResult) {
	if !s.Bad {
		return
	}
	r.maxBadShare = max(r.maxBadShare, s.Share)
	if t.detectedAt >= 0 && at > t.detectedAt {
		r.badSeconds++
		_, badCalls := s.Sample.Calls()
		r.badCalls += float64(badCalls)
	}
}

// detectionThreshold returns the log likelihood ratio at which the oracle detects a
// regression. It bounds the probability of a false alarm to 1% or 0.1%, the same as
// kqstep's rollback thresholds.
func detectionThreshold(prefer kqdocument.Preference) float64 {
	if prefer == kqdocument.PreferTakingBack {
		return math.Log(1 / 0.01)
	}
	return math.Log(1 / 0.001)
}
