package kqsurvey

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqrolloutsim"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqrollouttrace"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqstep"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqverdict"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

type (
	// traceHead is the first line of a trace.
	traceHead struct {
		Kind     string   `json:"kind"`
		Decision string   `json:"decision"`
		Seed     uint64   `json:"seed"`
		Settings settings `json:"settings"`
	}

	settings struct {
		Prefer     kqdocument.Preference `json:"prefer"`
		WindowMS   int64                 `json:"window_ms"`
		SmallShare float64               `json:"small_share"`
	}

	// traceLine is a further line of a trace: the input of one tick, or the outcome.
	traceLine struct {
		Kind  string `json:"kind"`
		AtMS  int64  `json:"at_ms"`
		Input any    `json:"input,omitempty"`
		// Expect is the outcome of the recorded run.
		Expect any `json:"expect,omitempty"`
	}

	outcome struct {
		State string `json:"state"`
		Step  int    `json:"step"`
	}
)

// Record simulates one rollout of a kind and writes it as a trace, with its final outcome
// if it ends within the window. It reports whether the rollout ended as it should: a good
// version done, a bad one rolled back.
func Record(out io.Writer, kind kqrolloutsim.Kind, seed, index uint64, prefer kqdocument.Preference) (bool, error) {
	w := kqrolloutsim.New(kind, seed, index)
	start := time.UnixMilli(0)
	t := &trial{world: w, evaluator: kqverdict.New(), detectedAt: -1, plan: kqplan.Plan{
		Name: "move", Start: start, Deadline: start.Add(w.Window), Prefer: prefer, SmallShare: 0.05,
	}}
	e := json.NewEncoder(out)
	err := e.Encode(traceHead{"trace", "rollout", seed, settings{prefer, w.Window.Milliseconds(), 0.05}})
	end := outcome{State: "running"}
	for at := 0; err == nil && at < int(w.Window/tick) && end.State == "running"; at++ {
		s := w.Tick(at, kqstep.Share(t.plan, t.progress.Step), t.progress.Step <= kqstep.SmallShareStep)
		t.evaluator.Observe(s.Sample)
		d := t.decide(start.Add(time.Duration(at+1) * tick))
		input := kqrollouttrace.Tick{Sample: s.Sample}
		input.OldSlots, input.NewSlots, input.ColdSlots = w.Slots(at)
		ms := int64(at+1) * tick.Milliseconds()
		err = e.Encode(traceLine{Kind: "input", AtMS: ms, Input: input})
		end.apply(d, t)
		if end.State != "running" && err == nil {
			err = e.Encode(traceLine{Kind: "outcome", AtMS: ms, Expect: end})
		}
	}
	if err != nil {
		return false, fmt.Errorf("record %s: %w", kind, err)
	}
	return (end.State == "done") == kind.Good() && end.State != "running", nil
}

// apply updates the outcome and the trial's step after a decision.
func (x *outcome) apply(d kqstep.Decision, t *trial) {
	switch d.Action {
	case kqstep.Advance:
		t.progress.Step++
	case kqstep.Done:
		x.State = "done"
	case kqstep.Rollback:
		x.State = "taken back"
	case kqstep.Hold:
	}
	x.Step = t.progress.Step
}
