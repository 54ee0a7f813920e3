package kqstep_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqstep"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqverdict"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

var start = time.Unix(1000, 0)

func state(prefer kqdocument.Preference, step int) kqstep.State {
	return kqstep.State{
		Plan:     kqplan.Plan{Start: start, Deadline: start.Add(10 * time.Minute), Prefer: prefer, SmallShare: 0.05},
		Progress: kqprogress.Progress{Step: step}, OldSlots: 36, NewSlots: 36,
	}
}

// An operator plans a move for a time that has gone by, or the node that reads
// the plan was away until then. Callers would get a version that nobody has
// watched, if the move jumped to its end.
func TestPlanWhoseDeadlineHasPassedIsTakenBack(t *testing.T) {
	for _, prefer := range []kqdocument.Preference{kqdocument.PreferFinishing, kqdocument.PreferTakingBack} {
		if d := kqstep.Decide(start.Add(time.Hour), state(prefer, 0)); d.Action != kqstep.TakeBack {
			t.Errorf("%s: %+v, want taken back", prefer, d)
		}
	}
}

// A service gets a handful of calls in the whole window. Nothing can be told of
// the new version, so the policy has to say which way the move ends; operators
// must not find it open for ever.
func TestTooFewCallsEndAsThePolicySays(t *testing.T) {
	few := kqverdict.Finding{Calls: 3}
	for prefer, want := range map[kqdocument.Preference]kqstep.Action{
		kqdocument.PreferFinishing: kqstep.Done, kqdocument.PreferTakingBack: kqstep.TakeBack,
	} {
		s := state(prefer, 1)
		for at := time.Duration(0); at <= 11*time.Minute; at += time.Second {
			s.Finding = few
			d := kqstep.Decide(start.Add(at), s)
			if d.Action == kqstep.Advance {
				s.Progress.Step++
				continue
			}
			if d.Action != kqstep.Hold {
				if d.Action != want {
					t.Errorf("%s ends as %s (%s), want %s", prefer, d.Action, d.Why, want)
				}
				break
			}
			if at == 11*time.Minute {
				t.Errorf("%s never ends", prefer)
			}
		}
	}
}
