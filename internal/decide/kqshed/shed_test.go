package kqshed_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqshed"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// caller is a caller whose call is sent next at the given time, after so many attempts.
type caller struct {
	at       time.Time
	attempts int
}

// Offered load is 2.5 times the capacity. Refused calls are retried and can then only be
// answered late. Random shedding would refuse many first attempts and leave the gates with
// retries: a quarter of all answers would be late although enough calls can meet their
// target.
func TestLateCallsAreShedFirst(t *testing.T) {
	const (
		tick        = 25 * time.Millisecond
		minNewCalls = 2 // per tick, plus one in half of the ticks on average
		retryDelay  = 300 * time.Millisecond
		attempts    = 3
		seconds     = 30
	)
	s, random, now := kqshed.New(), rand.New(rand.NewPCG(1, 1)), time.Unix(1000, 0)
	var pending []caller
	requests, inTime, late, idleSlots := 0, 0, 0, 0
	for range seconds * int(time.Second/tick) {
		now = now.Add(tick)
		for range minNewCalls + random.IntN(2) {
			pending = append(pending, caller{at: now})
			requests++
		}
		// Each tick the gates have capacity for one call, and prefer one that can be in
		// time.
		var admitted []caller
		var refused []caller
		pending = slices.DeleteFunc(pending, func(c caller) bool {
			if c.at.After(now) {
				return false
			}
			if s.ShouldShed(kqdocument.ClassBackground, c.attempts > 0, now, random) {
				refused = append(refused, c)
			} else {
				admitted = append(admitted, c)
			}
			return true
		})
		slices.SortStableFunc(admitted, func(a, b caller) int { return a.attempts - b.attempts })
		switch {
		case len(admitted) == 0:
			idleSlots++
		case admitted[0].attempts == 0:
			inTime++
		default:
			late++
		}
		for _, c := range admitted[min(1, len(admitted)):] {
			s.RecordRefusal(kqdocument.ClassBackground)
			refused = append(refused, c)
		}
		for _, c := range refused {
			if c.attempts++; c.attempts < attempts {
				pending = append(pending, caller{at: now.Add(retryDelay), attempts: c.attempts})
			}
		}
	}
	t.Logf("%d calls, %d answered in time, %d late, %d slots idle", requests, inTime, late, idleSlots)
	if late*20 > inTime {
		t.Errorf("%d of %d answers were late, want at most 1 in 20, as all can be in time", late, inTime+late)
	}
	if slots := seconds * int(time.Second/tick); idleSlots*20 > slots {
		t.Errorf("%d of %d slots were idle, want at most 1 in 20", idleSlots, slots)
	}
}

// Guards against a workspace whose refused calls make the entry shed those of others: one sends
// ten times what the gates accept of it, the other a call in ten that is always accepted.
func TestExcessOfOneWorkspaceShedsNoOther(t *testing.T) {
	s, random, now := kqshed.New(), rand.New(rand.NewPCG(1, 1)), time.Unix(1000, 0)
	shed := map[kqname.Workspace]int{}
	for i := range 10000 {
		now = now.Add(time.Millisecond)
		w := kqname.Workspace("flood")
		if i%10 == 0 {
			w = "other"
		}
		one := s.For(w, now)
		if one.ShouldShed(kqdocument.ClassNormal, false, now, random) {
			shed[w]++
		} else if w == "flood" && i%10 != 1 {
			one.RecordRefusal(kqdocument.ClassNormal)
		}
	}
	if shed["other"] > 0 || shed["flood"] < 5000 {
		t.Errorf("shed %v of 1,000 calls of the other workspace and 9,000 of the flood, want none and most", shed)
	}
}
