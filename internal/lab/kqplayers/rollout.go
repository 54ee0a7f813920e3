package kqplayers

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqreplay"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqrollouttrace"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqstep"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqverdict"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

type (
	// rollout is the player for kqverdict and kqstep: which step a rollout is at
	// after each recorded tick.
	rollout struct {
		plan            kqplan.Plan
		progress        kqprogress.Progress
		evaluator       *kqverdict.Evaluator
		callsBeforeStep uint64
		lastDecision    kqstep.Decision
		final           kqprogress.Final
	}

	rolloutSettings struct {
		Prefer     kqdocument.Preference `json:"prefer"`
		WindowMS   float64               `json:"window_ms"`
		SmallShare float64               `json:"small_share"`
	}

	// rolloutState has the state that recorded outcomes are compared with. Why is the
	// reason of the last decision that Input returned.
	rolloutState struct {
		State string  `json:"state"`
		Step  int     `json:"step"`
		Share float64 `json:"share"`
		Why   string  `json:"why"`
	}
)

func newRollout(settings json.RawMessage, _ uint64) (kqreplay.Player, error) {
	s := rolloutSettings{Prefer: kqdocument.PreferFinishing, SmallShare: 0.05}
	if err := decodeStrict(settings, &s); err != nil {
		return nil, err
	}
	if s.WindowMS <= 0 {
		return nil, fmt.Errorf("window_ms %v must be greater than 0", s.WindowMS)
	}
	start := time.UnixMilli(0)
	return &rollout{evaluator: kqverdict.New(), plan: kqplan.Plan{
		Name: "move", Start: start, Deadline: start.Add(time.Duration(s.WindowMS * float64(time.Millisecond))),
		Prefer: s.Prefer, SmallShare: s.SmallShare,
	}}, nil
}

// Input implements kqreplay.Player. It returns only the first of consecutive
// decisions to hold the step, and none once the rollout has ended.
func (r *rollout) Input(at time.Duration, input json.RawMessage) ([]kqreplay.Decision, error) {
	var t kqrollouttrace.Tick
	if err := decodeStrict(input, &t); err != nil {
		return nil, err
	}
	if r.final != kqprogress.Open {
		return nil, nil
	}
	r.evaluator.Observe(t.Sample)
	r.plan.Cancelled = t.Cancelled
	d := kqstep.Decide(r.plan.Start.Add(at), kqstep.Inputs{
		Plan: r.plan, Progress: r.progress, Finding: r.evaluator.Finding(), CallsBeforeStep: r.callsBeforeStep,
		OldSlots: t.OldSlots, NewSlots: t.NewSlots, ColdSlots: t.ColdSlots,
	})
	switch d.Action {
	case kqstep.Advance:
		r.progress.Step++
		r.callsBeforeStep = r.evaluator.Finding().Calls
	case kqstep.Done:
		r.final = kqprogress.Done
	case kqstep.Rollback:
		r.final = kqprogress.FinalRollback
	case kqstep.Hold:
		if r.lastDecision.Action == kqstep.Hold {
			return nil, nil
		}
	}
	r.lastDecision = d
	return []kqreplay.Decision{{
		Text:   fmt.Sprintf("%s, step %d, share %.2f", d.Action, r.progress.Step, r.share()),
		Reason: d.Why,
	}}, nil
}

// State implements kqreplay.Player.
func (r *rollout) State(time.Duration) (any, error) {
	s := rolloutState{State: "running", Step: r.progress.Step, Share: r.share(), Why: r.lastDecision.Why}
	if r.final != kqprogress.Open {
		s.State = string(r.final)
	}
	return s, nil
}

func (r *rollout) share() float64 {
	switch r.final {
	case kqprogress.Done:
		return 1
	case kqprogress.FinalRollback:
		return 0
	default:
		return kqstep.Share(r.plan, r.progress.Step)
	}
}
