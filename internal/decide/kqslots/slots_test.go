package kqslots_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqslots"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// ticket returns a call of the route with five seconds left until its deadline.
func ticket(route kqname.Route, now time.Time) *kqslots.Ticket {
	return &kqslots.Ticket{Caller: "c", Route: route, Deadline: now.Add(5 * time.Second), Ready: make(chan struct{}, 1)}
}

// Probes of 1 ms arrive beside ordinary calls of 400 ms. The ordinary calls must not count
// as long jobs because of them: a slot would be reserved for probes that use almost none of
// it.
func TestProbesDoNotReserveSlots(t *testing.T) {
	const slots = 12
	now := time.Unix(1000, 0)
	s := kqslots.New(slots, 1, kqslots.WithFixedLimit())
	run := func(route kqname.Route, took time.Duration) {
		call := ticket(route, now)
		s.Enter(call, now)
		now = now.Add(took)
		s.Leave(call, took, now)
	}
	for range 100 {
		run("probe", time.Millisecond)
		run("probe", time.Millisecond)
		run("order", 400*time.Millisecond)
	}
	run("probe", time.Millisecond)
	running := 0
	for range slots {
		call := ticket("order", now)
		if s.Enter(call, now); call.Verdict == kqslots.Run {
			running++
		}
	}
	if running != slots {
		t.Errorf("%d of %d slots were used", running, slots)
	}
}

// A route has a target of 400 ms and its calls take 120 ms. In a lasting overload, a call
// that can still meet its target must wait rather than be refused, since a slot is freed
// every 20 ms. Otherwise slots become idle while calls are refused.
func TestCallsQueueWhileTheirTargetAllows(t *testing.T) {
	const slots, work = 6, 120 * time.Millisecond
	now := time.Unix(1000, 0)
	s := kqslots.New(slots, 1, kqslots.WithFixedLimit())
	var running []*kqslots.Ticket
	enter := func() *kqslots.Ticket {
		call := ticket("browse", now)
		call.Class, call.Target = "background", now.Add(400*time.Millisecond)
		s.Enter(call, now)
		return call
	}
	refused := 0
	// Ten seconds at twice the capacity: one call every 10 ms, each of 120 ms, on 6 slots.
	for step := range 1000 {
		now = now.Add(10 * time.Millisecond)
		if call := enter(); call.Verdict == kqslots.Run {
			running = append(running, call)
		} else if call.Verdict == kqslots.Refuse {
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
