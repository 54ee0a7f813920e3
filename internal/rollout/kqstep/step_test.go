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

// tick is how often a rollout is decided on.
const tick = 100 * time.Millisecond

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

// A rollout is ordered to be done within twelve seconds, and the version is good:
// among a hundred calls two have failed while servers restarted. It must use the
// new upstreams before half of the time is up and end as done in time; taken back
// for so little, they would stand idle beside overloaded old ones.
func TestGoodOrderIsDoneInTime(t *testing.T) {
	plan := kqplan.Plan{Duration: 12 * time.Second, Prefer: kqdocument.PreferFinishing, SmallShare: 0.05}.Begin(start)
	s := kqstep.State{Plan: plan, OldSlots: 36, NewSlots: 60, Finding: kqverdict.Finding{Calls: 133, Total: 1.1, InFavor: -3}}
	if !step(t, s, plan.Start.Add(plan.Duration), func(now time.Time, s *kqstep.State) {
		if now.Sub(start) > 6*time.Second && s.Progress.Step < 2 {
			t.Fatalf("still at step %d after half of the time", s.Progress.Step)
		}
	}) {
		t.Error("not done in time")
	}
}

// step takes a good version through its steps, ten times a second until end, and reports
// whether it was done by then. see looks at each state before it is decided on.
func step(t *testing.T, s kqstep.State, end time.Time, see func(now time.Time, s *kqstep.State)) bool {
	t.Helper()
	for now := s.Plan.Start; now.Before(end); now = now.Add(tick) {
		see(now, &s)
		switch d := kqstep.Decide(now, s); d.Action {
		case kqstep.Advance:
			s.Progress.Step++
		case kqstep.TakeBack:
			t.Fatalf("taken back after %s: %s", now.Sub(s.Plan.Start), d.Why)
		case kqstep.Done:
			return true
		}
	}
	return false
}

// A version fails every second call. Whatever its order's time, the evidence of a
// few tens of calls must take it back at once.
func TestBadOrderIsTakenBackAtOnce(t *testing.T) {
	plan := kqplan.Plan{Duration: 12 * time.Second, Prefer: kqdocument.PreferFinishing, SmallShare: 0.05}.Begin(start)
	s := kqstep.State{Plan: plan, Progress: kqprogress.Progress{Step: 2}, OldSlots: 36, NewSlots: 60, Finding: kqverdict.Finding{Calls: 30, Total: 9}}
	if d := kqstep.Decide(start.Add(3*time.Second), s); d.Action != kqstep.TakeBack {
		t.Errorf("%+v, want taken back", d)
	}
}

// The one upstream that has the small share of an ordered rollout dies within its first
// calls. When the next step was due, seven calls were known, most of them refused or
// cut, and the version was taken back for them; its six other upstreams had not been
// asked once. Too few calls to go on by are too few to go back by, unless they leave no
// doubt, as long as there is time for more.
func TestTooFewCallsDoNotTakeAnOrderBack(t *testing.T) {
	plan := kqplan.Plan{Duration: 15 * time.Second}.Begin(start)
	s := kqstep.State{
		Plan: plan, Progress: kqprogress.Progress{Step: 1}, OldSlots: 72, NewSlots: 84,
		Finding: kqverdict.Finding{Calls: 7, Total: 4.7},
	}
	at := func(part float64) time.Time { return start.Add(time.Duration(part * float64(plan.Window()))) }
	if d := kqstep.Decide(at(0.4), s); d.Action != kqstep.Hold {
		t.Errorf("after 7 calls: %s, %s", d.Action, d.Why)
	}
	if d := kqstep.Decide(at(0.9), s); d.Action != kqstep.TakeBack {
		t.Errorf("when the time is up: %s, %s", d.Action, d.Why)
	}
	s.Finding.Total = 12
	if d := kqstep.Decide(at(0.4), s); d.Action != kqstep.TakeBack {
		t.Errorf("beyond doubt: %s, %s", d.Action, d.Why)
	}
}

// A quiet service has thirty calls a second, of which the small share is one or two. Its
// good version waited there for calls to go on by until seven eighths of the time were
// up, and went through all other steps within half a second. Operators were told just in
// time that it was done, and stopped the old upstreams while calls were at work there.
func TestOrderOfQuietServiceLeavesTimeForItsLastCalls(t *testing.T) {
	const (
		rate    = 30.0
		longest = time.Second
	)
	plan := kqplan.Plan{Duration: 8 * time.Second, Prefer: kqdocument.PreferFinishing, SmallShare: 0.05}.Begin(start)
	s := kqstep.State{Plan: plan, OldSlots: 192, NewSlots: 192}
	calls := 0.0
	if !step(t, s, plan.Deadline.Add(-longest), func(_ time.Time, s *kqstep.State) {
		calls += rate * tick.Seconds() * kqstep.Share(plan, s.Progress.Step)
		s.Finding.Calls = uint64(calls)
	}) {
		t.Errorf("not done when calls of %s have no time left to end in", longest)
	}
}

// A good version has four upstreams beside five of the old one, which all traffic of a
// busy service does not fit on. It ended as done, the five were stopped, and from that
// second on a third of the calls that rank last were turned away, for the rest of the day.
func TestOrderDoesNotEndBeforeItsTrafficHasRoom(t *testing.T) {
	plan := kqplan.Plan{Duration: 15 * time.Second, Prefer: kqdocument.PreferFinishing}.Begin(start)
	s := kqstep.State{
		Plan: plan, Progress: kqprogress.Progress{Step: kqstep.Last}, OldSlots: 60, NewSlots: 48,
		Finding: kqverdict.Finding{Calls: 1300, Total: -3, InFavor: 8},
	}
	at := func(part float64) time.Time { return start.Add(time.Duration(part * float64(plan.Window()))) }
	for _, c := range []struct {
		busy float64
		part float64
		want kqstep.Action
	}{{45, 0.9, kqstep.Hold}, {45, 1.01, kqstep.TakeBack}, {30, 0.9, kqstep.Done}, {0, 0.9, kqstep.Done}} {
		s.Busy = c.busy
		if d := kqstep.Decide(at(c.part), s); d.Action != c.want {
			t.Errorf("with %v slots in use at %v of the time: %s, %s; want %s", c.busy, c.part, d.Action, d.Why, c.want)
		}
	}
}

// Guards against a bad version whose share grows to a half and more while its evidence
// grows slowly, as calls of the old version fail too.
func TestShareDoesNotGrowOnRecentEvidence(t *testing.T) {
	plan := kqplan.Plan{Duration: 15 * time.Second}.Begin(start)
	s := kqstep.State{
		Plan: plan, Progress: kqprogress.Progress{Step: 2}, OldSlots: 60, NewSlots: 60,
		Finding: kqverdict.Finding{Calls: 60, Total: 0.9, Recent: 3.3},
	}
	at := func(part float64) time.Time { return start.Add(time.Duration(part * float64(plan.Window()))) }
	if d := kqstep.Decide(at(0.5), s); d.Action != kqstep.Hold {
		t.Errorf("%s, %s; want hold", d.Action, d.Why)
	}
	s.Finding.Recent = 0.5
	if d := kqstep.Decide(at(0.5), s); d.Action != kqstep.Advance {
		t.Errorf("once the evidence has passed: %s, %s; want advance", d.Action, d.Why)
	}
}
