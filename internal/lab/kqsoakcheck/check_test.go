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
		Work: work, Node: 1, Sent: 10 * second, Ended: 11 * second, Allowed: 5 * second,
		Whole: true, Complete: true, Status: 200, Result: "answered", Answers: []string{work, work},
	}
}

func refusal(work string) kqsoakcheck.Call {
	c := answer(work)
	c.Status, c.Result, c.Reason, c.Answers = 503, "not_run", "draining", nil
	return c
}

func cut(work string) kqsoakcheck.Call {
	return kqsoakcheck.Call{Work: work, Node: 1, Sent: 10 * second, Ended: 11 * second, Whole: true, Error: "EOF"}
}

// Each case is what callers and upstreams saw of one call, "a". A check that misses
// its case, or takes a sound call for a broken one, makes every run worthless.
func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name string
		see  func(*kqsoakcheck.Judge)
		want []kqsoakcheck.Kind
	}{
		{"answered", func(j *kqsoakcheck.Judge) { j.Began("a", "u", 2, 10*second); j.Call(answer("a")) }, nil},
		{"refused", func(j *kqsoakcheck.Judge) { j.Call(refusal("a")) }, nil},
		{"refused by its upstream", func(j *kqsoakcheck.Judge) {
			j.Began("a", "u", 2, 10*second)
			a := answer("a")
			a.Status = 503
			j.Call(a)
		}, nil},
		{"refused and had run", func(j *kqsoakcheck.Judge) { j.Began("a", "u", 2, 10*second); j.Call(refusal("a")) }, []kqsoakcheck.Kind{kqsoakcheck.False}},
		{"refused and ran later", func(j *kqsoakcheck.Judge) { j.Call(refusal("a")); j.Began("a", "u", 2, 12*second) }, []kqsoakcheck.Kind{kqsoakcheck.False}},
		{"ran twice", func(j *kqsoakcheck.Judge) {
			j.Began("a", "u", 2, 10*second)
			j.Began("a", "v", 3, 10*second)
			j.Call(answer("a"))
		}, []kqsoakcheck.Kind{kqsoakcheck.Twice}},
		{"another's answer", func(j *kqsoakcheck.Judge) {
			a := answer("a")
			a.Answers[1] = "b"
			j.Call(a)
		}, []kqsoakcheck.Kind{kqsoakcheck.Crossed}},
		{"a run that nobody asked for", func(j *kqsoakcheck.Judge) { j.Began("b", "u", 2, 10*second) }, []kqsoakcheck.Kind{kqsoakcheck.Crossed}},
		{"late", func(j *kqsoakcheck.Judge) { j.Goodbye("u", 5*second); j.Began("a", "u", 2, 10*second) }, []kqsoakcheck.Kind{kqsoakcheck.Late}},
		{"soon after the goodbye", func(j *kqsoakcheck.Judge) { j.Goodbye("u", 9*second); j.Began("a", "u", 2, 10*second) }, nil},
		{"cut", func(j *kqsoakcheck.Judge) { j.Call(cut("a")) }, []kqsoakcheck.Kind{kqsoakcheck.Lost}},
		{"not sent whole", func(j *kqsoakcheck.Judge) {
			a := cut("a")
			a.Whole = false
			j.Call(a)
		}, nil},
		{"answered unknown", func(j *kqsoakcheck.Judge) {
			a := answer("a")
			a.Status, a.Result, a.Reason, a.Answers = 502, "unknown", "cut", nil
			j.Call(a)
		}, []kqsoakcheck.Kind{kqsoakcheck.Lost}},
		{"cut at a killed node", func(j *kqsoakcheck.Judge) { j.Touch(1, 10*second); j.Call(cut("a")) }, nil},
		{"cut soon after a fault", func(j *kqsoakcheck.Judge) { j.Touch(1, second)(8 * second); j.Call(cut("a")) }, nil},
		{"cut long after a fault", func(j *kqsoakcheck.Judge) { j.Touch(1, second)(6 * second); j.Call(cut("a")) }, []kqsoakcheck.Kind{kqsoakcheck.Lost}},
		{"cut while its upstream is killed", func(j *kqsoakcheck.Judge) {
			j.Touch(2, 10*second)
			j.Began("a", "u", 2, 10*second)
			j.Call(cut("a"))
		}, nil},
		{"cut beside another's fault", func(j *kqsoakcheck.Judge) {
			j.Touch(3, 10*second)
			j.Began("a", "u", 2, 10*second)
			j.Call(cut("a"))
		}, []kqsoakcheck.Kind{kqsoakcheck.Lost}},
		{"a process ended", func(j *kqsoakcheck.Judge) { j.End("node-0", "signal: hangup", second) }, []kqsoakcheck.Kind{kqsoakcheck.Ended}},
		{"nothing answered at the end", func(j *kqsoakcheck.Judge) {
			j.Call(refusal("a"))
			j.Recovered(9*second, 12*second, 0.95)
		}, []kqsoakcheck.Kind{kqsoakcheck.Unrecovered}},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := kqsoakcheck.New()
			j.Sends("a", false)
			c.see(j)
			j.Settle(20 * second)
			var got []kqsoakcheck.Kind
			for _, v := range j.Violations() {
				got = append(got, v.Kind)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("found %v, want %v", got, c.want)
			}
		})
	}
}

// A bad version that goes on being used is what a rollout is there to prevent.
func TestBadVersionsAreUsedNoMoreOnceTheyShow(t *testing.T) {
	j := kqsoakcheck.New()
	j.Bad("u")
	j.Sends("a", true)
	for i := range 20 {
		j.Began("a", "u", 2, time.Duration(i)*second)
	}
	j.Began("a", "u", 2, 28*second)
	if v := j.Violations(); len(v) > 0 {
		t.Errorf("found %+v too soon", v)
	}
	j.Began("a", "u", 2, 30*second)
	if v := j.Violations(); len(v) != 1 || v[0].Kind != kqsoakcheck.Exposed {
		t.Errorf("found %+v, want %s", v, kqsoakcheck.Exposed)
	}
}

// A call that may run twice does; it is not held against it.
func TestIdempotentCallsMayRunTwice(t *testing.T) {
	j := kqsoakcheck.New()
	j.Sends("a", true)
	j.Began("a", "u", 2, second)
	j.Began("a", "v", 3, 2*second)
	if v := j.Violations(); len(v) > 0 {
		t.Errorf("found %+v", v)
	}
}
