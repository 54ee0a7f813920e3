package kqadmission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqadmission"
)

var (
	start = time.Unix(1000, 0)
	limit = kqadmission.Limit{PerSecond: 10, Burst: 10}
)

// admit makes calls at a steady rate from start on and returns how many are admitted.
func admit(a *kqadmission.Admission, k func(time.Time) kqadmission.Link, perSecond int, span time.Duration) int {
	random, admitted := rand.New(rand.NewPCG(1, 1)), 0
	for i := range int(span.Seconds() * float64(perSecond)) {
		now := start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		if a.Admit(limit, k(now), random, now).Allowed {
			admitted++
		}
	}
	return admitted
}

// Guards against a node that admits more than the whole rate and burst, whatever the coordinator
// answers.
func TestNodeKeepsTheWholeRate(t *testing.T) {
	got := admit(kqadmission.New(limit, start), func(now time.Time) kqadmission.Link {
		return kqadmission.Link{AnsweredAt: now, Portion: 1}
	}, 1000, 10*time.Second)
	if got < 100 || got > 115 {
		t.Errorf("%d calls admitted in 10 s, want 110", got)
	}
}

// Guards against portions that are rounded up to a call: 100 nodes of which each gets a call after
// a minute without an answer would admit 100 at once.
func TestSmallPortionsAreNotRoundedUp(t *testing.T) {
	random, admitted := rand.New(rand.NewPCG(1, 1)), 0
	for range 1000 {
		a := kqadmission.New(limit, start)
		if a.Admit(limit, kqadmission.Link{Portion: 0.001}, random, start.Add(time.Minute)).Allowed {
			admitted++
		}
	}
	if admitted > 25 {
		t.Errorf("%d of 1000 nodes admitted a call at once, want 10", admitted)
	}
}

// Guards against a node that keeps admitting by an old answer: after the grace it must keep to its
// portion, and pay for what it has admitted beyond it since the last answer.
func TestNodeFallsBackToItsPortion(t *testing.T) {
	a := kqadmission.New(limit, start)
	k := func(time.Time) kqadmission.Link {
		return kqadmission.Link{AnsweredAt: start, Portion: 0.1}
	}
	if got := admit(a, k, 100, 3*time.Second); got > 45 {
		t.Errorf("%d calls admitted in the first 3 s, want 44 at most", got)
	}
	later := start.Add(4 * time.Second)
	if v := a.Admit(limit, k(later), rand.New(rand.NewPCG(1, 1)), later); v.Allowed || v.Basis != kqadmission.ByPortion || v.RetryAfter < time.Second {
		t.Errorf("after the grace: %+v, want a refusal by the portion with its debt", v)
	}
}

// Guards against calls that did not run and still count.
func TestReturnedCallsDoNotCount(t *testing.T) {
	a := kqadmission.New(limit, start)
	k := kqadmission.Link{AnsweredAt: start, Portion: 1}
	for range 100 {
		if !a.Admit(limit, k, rand.New(rand.NewPCG(1, 1)), start).Allowed {
			t.Fatal("refused although every call was returned")
		}
		a.Return()
	}
	if arrived, admitted := a.Counts(); arrived != 0 || admitted != 0 {
		t.Errorf("%d arrived and %d admitted calls are reported, want none", arrived, admitted)
	}
}
