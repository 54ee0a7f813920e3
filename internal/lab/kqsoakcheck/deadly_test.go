package kqsoakcheck_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoakcheck"
)

// A checker that misses a request that is sent on, or that blames what is excused, makes a clean soak worthless.
func TestRequestSentOnAfterThreeEnds(t *testing.T) {
	for name, c := range map[string]struct {
		ends int
		cut  bool
		want int
	}{
		"two ends": {ends: 2}, "three ends": {ends: 3, want: 1}, "three ends, node cut off": {ends: 3, cut: true},
	} {
		ck := kqsoakcheck.New()
		for i := range c.ends {
			at := time.Duration(i+1) * time.Second
			ck.EndedUnder("deadly7-0-1", at)
			ck.EndedUnderCall(2, at)(at + time.Millisecond)
		}
		if c.cut {
			ck.Disruption(2, time.Second)(4 * time.Second)
		}
		ck.CallSent("deadly7-1-9", true, 1, 5*time.Second)
		ck.Began("deadly7-1-9", "upstream-2.1", 2, 5*time.Second)
		if got := len(ck.Violations()); got != c.want {
			t.Errorf("%s: %d violations, want %d", name, got, c.want)
		}
	}
}

// Guards against a checker that takes the short wait for a call that tries a request for blame.
func TestUsualRequestThatStaysRefused(t *testing.T) {
	ck := kqsoakcheck.New()
	refuse := func(at time.Duration) {
		ck.Call(kqsoakcheck.Call{WorkID: "c1-1", Route: "r", Idempotent: true, AnswerRead: true, Status: 503, Result: "not_run", Reason: "quarantined", Ended: at})
	}
	refuse(time.Second)
	refuse(2 * time.Second)
	ck.Call(kqsoakcheck.Call{WorkID: "c1-2", Route: "r", Idempotent: true, AnswerRead: true, Status: 200, Result: "answered", Ended: 3 * time.Second})
	refuse(5 * time.Second)
	if got := ck.Violations(); len(got) > 0 {
		t.Errorf("short waits count as blame: %+v", got)
	}
	refuse(9 * time.Second)
	if got := ck.Violations(); len(got) != 1 || got[0].Kind != kqsoakcheck.Blamed {
		t.Errorf("a request that is refused for 4 s gives %+v", got)
	}
}

// Guards against a checker that holds the time of a paused node against the refusal that follows, or that
// excuses more than the calls at work at that node.
func TestRefusalByANodeThatWasPaused(t *testing.T) {
	for name, c := range map[string]struct {
		paused int
		until  time.Duration
		want   int
	}{
		"its node": {paused: 1, until: 6 * time.Second}, "another node": {paused: 2, until: 6 * time.Second, want: 1},
		"before the call": {paused: 1, until: 2900 * time.Millisecond, want: 1},
	} {
		ck := kqsoakcheck.New()
		refuse := func(id string, sent, ended time.Duration) {
			ck.CallSent(id, true, 1, sent)
			ck.Call(kqsoakcheck.Call{WorkID: id, Route: "r", Idempotent: true, AnswerRead: true, Status: 503, Result: "not_run", Reason: "quarantined", Sent: sent, Ended: ended})
		}
		refuse("c1-1", time.Second, 2*time.Second)
		ck.Disruption(c.paused, 2500*time.Millisecond)(c.until)
		refuse("c1-2", 3*time.Second, 6*time.Second)
		if got := len(ck.Violations()); got != c.want {
			t.Errorf("%s was paused: %d violations, want %d", name, got, c.want)
		}
	}
}

// Guards against a checker that lets a usual request be refused for ever, as long as some of its calls are answered.
func TestUsualRequestThatIsRefusedBetweenAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		end  time.Duration
		want int
	}{
		"no upstream ended": {want: 1}, "one ended before": {end: time.Second, want: 1},
		"one ended shortly before": {end: 7 * time.Second}, "one ended between": {end: 10200 * time.Millisecond},
	} {
		ck := kqsoakcheck.New()
		if c.end > 0 {
			ck.EndedUnderCall(2, c.end)(c.end + time.Millisecond)
		}
		call := func(id string, sent time.Duration, status int, result, reason string) {
			ck.CallSent(id, true, 1, sent)
			ck.Call(kqsoakcheck.Call{WorkID: id, Route: "r", Idempotent: true, AnswerRead: true, Status: status, Result: result, Reason: reason, Sent: sent, Ended: sent + 100*time.Millisecond})
		}
		call("c1-1", 9*time.Second, 200, "answered", "")
		call("c1-2", 10*time.Second, 503, "not_run", "quarantined")
		call("c1-3", 10300*time.Millisecond, 200, "answered", "")
		call("c1-4", 10600*time.Millisecond, 503, "not_run", "quarantined")
		if got := len(ck.Violations()); got != c.want {
			t.Errorf("%s: %d violations, want %d", name, got, c.want)
		}
	}
}
