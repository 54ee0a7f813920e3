package kqsoakcheck_test

import (
	"slices"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoakcheck"
)

const second = time.Second

func answer(work string) kqsoakcheck.Call {
	return kqsoakcheck.Call{
		WorkID: work, Node: 1, Sent: 10 * second, Ended: 11 * second, Timeout: 5 * second,
		RequestSent: true, AnswerRead: true, Status: 200, Result: "answered", AnswerIDs: []string{work, work},
	}
}

func refusal(work string) kqsoakcheck.Call {
	c := answer(work)
	c.Status, c.Result, c.Reason, c.AnswerIDs = 503, "not_run", "draining", nil
	return c
}

// cut returns a call whose request was sent completely and whose connection ended before
// an answer.
func cut(work string) kqsoakcheck.Call {
	return kqsoakcheck.Call{WorkID: work, Node: 1, Sent: 10 * second, Ended: 11 * second, RequestSent: true, Error: "EOF"}
}

// Each case lists what callers and upstreams observed about one call, "a". A check that
// misses a violation, or reports one for a correct call, makes the result of every soak
// run worthless.
func TestChecker(t *testing.T) {
	for _, c := range []struct {
		name    string
		observe func(*kqsoakcheck.Checker)
		want    []kqsoakcheck.Kind
	}{
		{"answered", func(checker *kqsoakcheck.Checker) {
			checker.Began("a", "u", 2, 10*second)
			checker.Call(answer("a"))
		}, nil},
		{"refused", func(checker *kqsoakcheck.Checker) { checker.Call(refusal("a")) }, nil},
		{"refused by its upstream", func(checker *kqsoakcheck.Checker) {
			checker.Began("a", "u", 2, 10*second)
			a := answer("a")
			a.Status = 503
			checker.Call(a)
		}, nil},
		{"refused and had run", func(checker *kqsoakcheck.Checker) {
			checker.Began("a", "u", 2, 10*second)
			checker.Call(refusal("a"))
		}, []kqsoakcheck.Kind{kqsoakcheck.FalseNotRun}},
		{"refused and ran later", func(checker *kqsoakcheck.Checker) {
			checker.Call(refusal("a"))
			checker.Began("a", "u", 2, 12*second)
		}, []kqsoakcheck.Kind{kqsoakcheck.FalseNotRun}},
		{"ran twice", func(checker *kqsoakcheck.Checker) {
			checker.Began("a", "u", 2, 10*second)
			checker.Began("a", "v", 3, 10*second)
			checker.Call(answer("a"))
		}, []kqsoakcheck.Kind{kqsoakcheck.Twice}},
		{"answered with another call's answer", func(checker *kqsoakcheck.Checker) {
			a := answer("a")
			a.AnswerIDs[1] = "b"
			checker.Call(a)
		}, []kqsoakcheck.Kind{kqsoakcheck.Crossed}},
		{"run without a caller", func(checker *kqsoakcheck.Checker) { checker.Began("b", "u", 2, 10*second) }, []kqsoakcheck.Kind{kqsoakcheck.Crossed}},
		{"ran long after the goodbye", func(checker *kqsoakcheck.Checker) {
			checker.DrainAcknowledged("u", 5*second)
			checker.Began("a", "u", 2, 10*second)
		}, []kqsoakcheck.Kind{kqsoakcheck.Late}},
		{"ran soon after the goodbye", func(checker *kqsoakcheck.Checker) {
			checker.DrainAcknowledged("u", 9*second)
			checker.Began("a", "u", 2, 10*second)
		}, nil},
		{"connection cut", func(checker *kqsoakcheck.Checker) { checker.Call(cut("a")) }, []kqsoakcheck.Kind{kqsoakcheck.Lost}},
		{"request not sent completely", func(checker *kqsoakcheck.Checker) {
			a := cut("a")
			a.RequestSent = false
			checker.Call(a)
		}, nil},
		{"answered unknown", func(checker *kqsoakcheck.Checker) {
			a := answer("a")
			a.Status, a.Result, a.Reason, a.AnswerIDs = 502, "unknown", "cut", nil
			checker.Call(a)
		}, []kqsoakcheck.Kind{kqsoakcheck.Lost}},
		{"cut at a killed node", func(checker *kqsoakcheck.Checker) { checker.Disruption(1, 10*second); checker.Call(cut("a")) }, nil},
		{"cut soon after a fault", func(checker *kqsoakcheck.Checker) {
			checker.Disruption(1, second)(8 * second)
			checker.Call(cut("a"))
		}, nil},
		{"cut long after a fault", func(checker *kqsoakcheck.Checker) {
			checker.Disruption(1, second)(6 * second)
			checker.Call(cut("a"))
		}, []kqsoakcheck.Kind{kqsoakcheck.Lost}},
		{"cut while its upstream is killed", func(checker *kqsoakcheck.Checker) {
			checker.Disruption(2, 10*second)
			checker.Began("a", "u", 2, 10*second)
			checker.Call(cut("a"))
		}, nil},
		{"cut during a fault at another node", func(checker *kqsoakcheck.Checker) {
			checker.Disruption(3, 10*second)
			checker.Began("a", "u", 2, 10*second)
			checker.Call(cut("a"))
		}, []kqsoakcheck.Kind{kqsoakcheck.Lost}},
		{"process exited", func(checker *kqsoakcheck.Checker) { checker.RecordWrongExit("node-0", "signal: hangup", second) }, []kqsoakcheck.Kind{kqsoakcheck.WrongExit}},
		{"no call answered at the end", func(checker *kqsoakcheck.Checker) {
			checker.Call(refusal("a"))
			checker.CheckRecovery(9*second, 12*second, 0.95)
		}, []kqsoakcheck.Kind{kqsoakcheck.Unrecovered}},
	} {
		t.Run(c.name, func(t *testing.T) {
			checker := kqsoakcheck.New()
			checker.CallSent("a", false, 1, 10*second)
			c.observe(checker)
			checker.EvaluatePending(20 * second)
			var got []kqsoakcheck.Kind
			for _, v := range checker.Violations() {
				got = append(got, v.Kind)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("violations %v, want %v", got, c.want)
			}
		})
	}
}

// Rollouts must take a bad version out of use once its failures are detectable. A checker
// that misses later runs would pass a rollout that does not, and one that reports runs
// within the grace period of 10 s would fail a correct rollout.
func TestUseOfADetectedBadVersionIsAViolation(t *testing.T) {
	checker := kqsoakcheck.New()
	checker.MarkBad("u")
	checker.CallSent("a", true, 1, 0)
	for i := range 20 {
		checker.Began("a", "u", 2, time.Duration(i)*second)
	}
	checker.Began("a", "u", 2, 28*second)
	if v := checker.Violations(); len(v) > 0 {
		t.Errorf("violations %+v, want none yet", v)
	}
	checker.Began("a", "u", 2, 30*second)
	if v := checker.Violations(); len(v) != 1 || v[0].Kind != kqsoakcheck.Exposed {
		t.Errorf("violations %+v, want one of kind %s", v, kqsoakcheck.Exposed)
	}
}

// Nodes retry idempotent calls, so that a run of such a call may follow another. A checker
// that reports the second run would fail correct soak runs.
func TestIdempotentCallsMayRunTwice(t *testing.T) {
	checker := kqsoakcheck.New()
	checker.CallSent("a", true, 1, 0)
	checker.Began("a", "u", 2, second)
	checker.Began("a", "v", 3, 2*second)
	if v := checker.Violations(); len(v) > 0 {
		t.Errorf("violations %+v, want none", v)
	}
}
