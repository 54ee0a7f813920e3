package kqsurvey

import (
	"math"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqworld"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqstep"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqverdict"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

const (
	tick = time.Second
	// lag is how many ticks pass from a decision until no call goes by the old
	// one: a tick until the gates have reported, and the way to all nodes.
	lag = 1
)

type (
	// result is how one rollout ended under one decider.
	result struct {
		kind  kqworld.Kind
		right bool
		// share is the most that a version had while it was bad.
		share float64
		// seconds and calls are from the badness showing to no traffic.
		seconds, calls float64
		// at is the second at which it was taken back, -1 if it was not.
		at int
	}

	// trial plays one rollout.
	trial struct {
		world    *kqworld.World
		plan     kqplan.Plan
		progress kqprogress.Progress
		judge    *kqverdict.Judge
		// odds is what the informed test has, and shown the tick at which it
		// was sure.
		odds  float64
		shown int
		sure  float64
	}
)

// play runs one rollout under kumquatgw's decisions and, on the same calls,
// under the test that knows the true distributions. The calls go on after the
// rollout is taken back, for that test alone.
func play(w *kqworld.World, prefer kqdocument.Preference) (ours, limit result) {
	start := time.Unix(0, 0)
	t := &trial{
		world: w, judge: kqverdict.New(), shown: -1, sure: alarm(prefer),
		plan: kqplan.Plan{Name: "move", Start: start, Deadline: start.Add(w.Window), Prefer: prefer, SmallShare: 0.05},
	}
	ours = result{kind: w.Kind, at: -1}
	limit = result{kind: w.Kind, at: -1}
	ended, off := false, -1
	for at := 0; at < int(w.Window/tick); at++ {
		s := w.Tick(at, kqstep.Share(t.plan, t.progress.Step), t.progress.Step <= kqstep.Small)
		if t.inform(at, s) && limit.at < 0 {
			limit.at = at
		}
		if off < 0 || at <= off {
			ours.charge(t, at, s)
		}
		if ended {
			continue
		}
		t.judge.Observe(s.Sample)
		switch d := t.decide(start.Add(time.Duration(at+1) * tick)); d.Action {
		case kqstep.TakeBack:
			ended, off, ours.at = true, at+lag, at+lag
		case kqstep.Done:
			ended = true
			ours.right = w.Kind.Good()
		case kqstep.Advance:
			t.progress.Step++
		case kqstep.Hold:
		}
	}
	if !w.Kind.Good() {
		ours.right = ours.at >= 0
	}
	limit.right = (limit.at >= 0 || t.odds > 0) != w.Kind.Good()
	return ours, limit
}

func (t *trial) decide(now time.Time) kqstep.Decision {
	s := kqstep.State{Plan: t.plan, Progress: t.progress, Finding: t.judge.Finding()}
	s.OldSlots, s.NewSlots, s.ColdSlots = t.world.Slots(int(now.Sub(t.plan.Start)/tick) - 1)
	return kqstep.Decide(now, s)
}

// inform lets the informed test weigh a tick, and reports whether it is sure.
// It knows when the badness begins, and counts from there.
func (t *trial) inform(at int, s kqworld.TickResult) bool {
	if !s.Bad && !t.world.Kind.Good() {
		return t.shown >= 0
	}
	t.odds += s.LogLikelihoodRatio
	if t.odds >= t.sure && t.shown < 0 {
		t.shown = at
	}
	return t.shown >= 0
}

// charge counts what a bad version got. A version that is never taken back is
// charged until the deadline.
func (r *result) charge(t *trial, at int, s kqworld.TickResult) {
	if !s.Bad {
		return
	}
	r.share = max(r.share, s.Share)
	if t.shown >= 0 && at > t.shown {
		r.seconds++
		_, calls := s.Sample.Calls()
		r.calls += float64(calls)
	}
}

func alarm(prefer kqdocument.Preference) float64 {
	if prefer == kqdocument.PreferTakingBack {
		return math.Log(1 / 0.01)
	}
	return math.Log(1 / 0.001)
}
