package kqsoakcheck_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoakcheck"
)

// answerFrom records that node 1 gets an answer of the upstream "u" to a call that is sent and
// answered at the given time.
func answerFrom(ck *kqsoakcheck.Checker, at time.Duration, limited, leaving bool) {
	work := fmt.Sprint("told-", at)
	ck.CallSent(work, true, 1, at)
	ck.Began(work, "u", 2, at)
	a := answer(work)
	a.Sent, a.Ended, a.Told = at, at, kqsoakcheck.Told{Upstream: "u", Limited: limited, Leaving: leaving}
	ck.Call(a)
}

// runMany records runs of calls of a node at the upstream "u", evenly spaced.
func runMany(ck *kqsoakcheck.Checker, node, n int, from, to time.Duration) {
	for i := range n {
		at := from + time.Duration(i)*(to-from)/time.Duration(n)
		work := fmt.Sprint("run-", node, "-", at)
		ck.CallSent(work, true, node, at)
		ck.Began(work, "u", 2, at)
	}
}

// Guards against soak runs that miss calls beyond a limit or after a departure, a limit that
// is kept after its end, or report what is allowed.
func TestCheckerOfLimitsAndDepartures(t *testing.T) {
	for name, c := range map[string]struct {
		observe func(*kqsoakcheck.Checker)
		want    []kqsoakcheck.Kind
	}{
		"within the limit": {func(ck *kqsoakcheck.Checker) {
			ck.LimitNamed("u", "s", 2, second)
			answerFrom(ck, second, true, false)
			runMany(ck, 1, 16, 5*second, 9*second)
		}, nil},
		"beyond the limit": {func(ck *kqsoakcheck.Checker) {
			ck.LimitNamed("u", "s", 2, second)
			answerFrom(ck, second, true, false)
			runMany(ck, 1, 18, 5*second, 9*second)
		}, []kqsoakcheck.Kind{kqsoakcheck.OverLimit}},
		"beyond the limit at once": {func(ck *kqsoakcheck.Checker) {
			ck.LimitNamed("u", "s", 2, second)
			answerFrom(ck, second, true, false)
			runMany(ck, 1, 30, 1600*time.Millisecond, 3900*time.Millisecond)
		}, nil},
		"from a node that was not told": {func(ck *kqsoakcheck.Checker) {
			ck.LimitNamed("u", "s", 2, second)
			answerFrom(ck, second, true, false)
			runMany(ck, 3, 30, 5*second, 9*second)
		}, nil},
		"from a node that was restarted": {func(ck *kqsoakcheck.Checker) {
			ck.LimitNamed("u", "s", 2, second)
			answerFrom(ck, second, true, false)
			ck.NodeRestarted(1)
			runMany(ck, 1, 30, 5*second, 9*second)
		}, nil},
		"refused without a limit": {func(ck *kqsoakcheck.Checker) {
			ck.LimitNamed("u", "s", 2, second)
			ck.LimitEnded("u")
			answerFrom(ck, 2*second, false, false)
			a := refusal("a")
			a.Reason = "limited"
			ck.Call(a)
		}, []kqsoakcheck.Kind{kqsoakcheck.StaleLimit}},
		"refused within a limit of another service": {func(ck *kqsoakcheck.Checker) {
			ck.LimitNamed("u", "s", 2, second)
			a := refusal("a")
			a.Reason, a.Service = "limited", "other"
			ck.Call(a)
		}, []kqsoakcheck.Kind{kqsoakcheck.StaleLimit}},
		"refused before the end was heard": {func(ck *kqsoakcheck.Checker) {
			ck.LimitNamed("u", "s", 2, second)
			ck.LimitEnded("u")
			a := refusal("a")
			a.Reason = "limited"
			ck.Call(a)
		}, nil},
		"sent long after a departure": {func(ck *kqsoakcheck.Checker) {
			answerFrom(ck, second, false, true)
			runMany(ck, 1, 1, 3100*time.Millisecond, 4*second)
		}, []kqsoakcheck.Kind{kqsoakcheck.Late}},
		"sent soon after a departure": {func(ck *kqsoakcheck.Checker) {
			answerFrom(ck, second, false, true)
			runMany(ck, 1, 1, 2900*time.Millisecond, 4*second)
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			ck := kqsoakcheck.New()
			c.observe(ck)
			var got []kqsoakcheck.Kind
			for _, v := range ck.Violations() {
				got = append(got, v.Kind)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("violations %v, want %v", got, c.want)
			}
		})
	}
}
