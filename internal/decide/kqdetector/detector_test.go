package kqdetector_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqdetector"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const interval = time.Second

var start = time.Unix(1000, 0)

// One of two members stops sending heartbeats. If it became dead without being suspected
// first, a healthy member that loses a few packets could not refute; if it stayed a suspect
// for long, calls would continue to go to a failed server.
func TestSilentMemberIsSuspectedThenDead(t *testing.T) {
	d := kqdetector.New(interval)
	d.SetWatched([]kqname.Node{"a", "b"}, start)
	firstTick := map[kqdetector.Status]int{}
	for tick := range 20 {
		now := start.Add(time.Duration(tick) * interval)
		d.RecordHeartbeat("a", now)
		for _, change := range d.Check(now) {
			if change.Node != "b" {
				t.Fatalf("tick %d: %s is %s, want no suspicion", tick, change.Node, change.Status)
			}
			if _, ok := firstTick[change.Status]; !ok {
				firstTick[change.Status] = tick
			}
			if change.Status == kqdetector.Suspect {
				d.SetSuspects([]kqname.Node{"b"}, now)
			}
		}
	}
	if s, d := firstTick[kqdetector.Suspect], firstTick[kqdetector.Dead]; s == 0 || d < s+4 || d > 12 {
		t.Fatalf("suspected at tick %d, dead at %d, want at least 4 ticks between and dead by tick 12", s, d)
	}
}

// A node is paused for a minute, or its clock jumps ahead by one. If it took the silence
// for a failure of the others, its callers would lose every upstream at once.
func TestPausedNodeSuspectsNoOther(t *testing.T) {
	d := kqdetector.New(interval)
	d.SetWatched([]kqname.Node{"a", "b"}, start)
	d.Check(start)
	if changes := d.Check(start.Add(time.Minute)); len(changes) > 0 {
		t.Fatalf("changes after a pause: %v, want none", changes)
	}
	if changes := d.Check(start.Add(time.Minute - 30*time.Second)); len(changes) > 0 {
		t.Fatalf("changes after a clock jump back: %v, want none", changes)
	}
}
