package kqslots_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqslots"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// ticket is a call of a route with five seconds left.
func ticket(route kqname.Route, now time.Time) *kqslots.Ticket {
	return &kqslots.Ticket{Caller: "c", Route: route, Deadline: now.Add(5 * time.Second), Ready: make(chan struct{}, 1)}
}

// Callers probe an upstream with calls of a millisecond while its ordinary calls
// take 400 ms. The ordinary ones must not count as long jobs for that, or half of
// the slots would be kept for probes that use next to none, and callers would be
// refused at half of the capacity.
func TestProbesDoNotHoldSlotsBack(t *testing.T) {
	const slots = 12
	now := time.Unix(1000, 0)
	s := kqslots.New(slots, 1, kqslots.WithExact())
	run := func(route kqname.Route, took time.Duration) {
		one := ticket(route, now)
		s.Enter(one, now)
		now = now.Add(took)
		s.Leave(one, took, now)
	}
	for range 100 {
		run("probe", time.Millisecond)
		run("probe", time.Millisecond)
		run("order", 400*time.Millisecond)
	}
	run("probe", time.Millisecond)
	running := 0
	for range slots {
		one := ticket("order", now)
		if s.Enter(one, now); one.Verdict == kqslots.Run {
			running++
		}
	}
	if running != slots {
		t.Errorf("%d of %d slots were used", running, slots)
	}
}

// A route's answers have their full worth within 400 ms, and calls of it take
// 120 ms. In a standing overload a call that can still make its target must wait,
// not be refused while a slot becomes free every few milliseconds.
func TestCallWaitsWhileItsTargetAllows(t *testing.T) {
	const slots, work = 6, 120 * time.Millisecond
	now := time.Unix(1000, 0)
	s := kqslots.New(slots, 1, kqslots.WithExact())
	var running []*kqslots.Ticket
	enter := func() *kqslots.Ticket {
		one := ticket("browse", now)
		one.Class, one.Target = "background", now.Add(400*time.Millisecond)
		s.Enter(one, now)
		return one
	}
	refused := 0
	// Ten seconds at twice the capacity: a call each 10 ms, of 120 ms on 6 slots.
	for step := range 1000 {
		now = now.Add(10 * time.Millisecond)
		if one := enter(); one.Verdict == kqslots.Run {
			running = append(running, one)
		} else if one.Verdict == kqslots.Refuse {
			refused++
		}
		if step%2 == 0 && len(running) > 0 {
			done := running[0]
			running = append(running[1:], s.Leave(done, work, now)...)
		}
		if load := s.Load(); step > 100 && load.Waiting == 0 && load.Running < slots {
			t.Fatalf("step %d: %d of %d slots in use while calls are refused", step, load.Running, slots)
		}
	}
	if refused == 0 || refused > 600 {
		t.Errorf("%d of 1000 calls were refused at twice the capacity", refused)
	}
}
