package kqsuspicion_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqsuspicion"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const interval = time.Second

var start = time.Unix(1000, 0)

func TestSilentMemberIsSuspectedThenDead(t *testing.T) {
	d := kqsuspicion.New(interval)
	d.Watch([]kqname.Node{"a", "b"}, start)
	firstBeat := map[kqsuspicion.Judgement]int{}
	for beat := range 20 {
		now := start.Add(time.Duration(beat) * interval)
		d.Heard("a", now)
		for _, v := range d.Judge(now) {
			if v.Node != "b" {
				t.Fatalf("beat %d: %s is %s, want no suspicion", beat, v.Node, v.Judgement)
			}
			if _, ok := firstBeat[v.Judgement]; !ok {
				firstBeat[v.Judgement] = beat
			}
			if v.Judgement == kqsuspicion.Suspect {
				d.Suspects([]kqname.Node{"b"}, now)
			}
		}
	}
	if s, d := firstBeat[kqsuspicion.Suspect], firstBeat[kqsuspicion.Dead]; s == 0 || d < s+4 || d > 12 {
		t.Fatalf("suspected at beat %d, dead at %d, want at least 4 beats between and dead by beat 12", s, d)
	}
}

// A node is paused for a minute, or its clock jumps ahead by one. If it took the silence
// for a failure of the others, its callers would lose every upstream at once.
func TestPausedNodeSuspectsNoOther(t *testing.T) {
	d := kqsuspicion.New(interval)
	d.Watch([]kqname.Node{"a", "b"}, start)
	d.Judge(start)
	if v := d.Judge(start.Add(time.Minute)); len(v) > 0 {
		t.Fatalf("verdicts after a pause: %v, want none", v)
	}
	if v := d.Judge(start.Add(time.Minute - 30*time.Second)); len(v) > 0 {
		t.Fatalf("verdicts after a clock jump back: %v, want none", v)
	}
}
