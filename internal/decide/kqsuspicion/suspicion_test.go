package kqsuspicion_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqsuspicion"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const every = time.Second

var start = time.Unix(1000, 0)

func TestSilentMemberIsSuspectedBeforeItIsDead(t *testing.T) {
	d := kqsuspicion.New(every)
	d.Watch([]kqname.Node{"a", "b"}, start)
	first := map[kqsuspicion.Judgement]int{}
	for beat := range 20 {
		now := start.Add(time.Duration(beat) * every)
		d.Heard("a", now)
		for _, v := range d.Judge(now) {
			if v.Node != "b" {
				t.Fatalf("beat %d: %s is held to be %s", beat, v.Node, v.Judgement)
			}
			if _, ok := first[v.Judgement]; !ok {
				first[v.Judgement] = beat
			}
			if v.Judgement == kqsuspicion.Suspect {
				d.Suspects([]kqname.Node{"b"}, now)
			}
		}
	}
	if s, d := first[kqsuspicion.Suspect], first[kqsuspicion.Dead]; s == 0 || d < s+4 || d > 12 {
		t.Fatalf("suspected at beat %d, dead at %d", s, d)
	}
}

// A node is paused for a minute, or its clock jumps ahead by one. Its callers
// would lose every upstream at once if it took the silence for theirs.
func TestNodeThatWasAwayBlamesNobody(t *testing.T) {
	d := kqsuspicion.New(every)
	d.Watch([]kqname.Node{"a", "b"}, start)
	d.Judge(start)
	if v := d.Judge(start.Add(time.Minute)); len(v) > 0 {
		t.Fatalf("after a pause: %v", v)
	}
	if v := d.Judge(start.Add(time.Minute - 30*time.Second)); len(v) > 0 {
		t.Fatalf("after a jump back: %v", v)
	}
}
