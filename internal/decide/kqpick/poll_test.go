package kqpick_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

// Guards against calls that wait at one upstream while another has a free slot: many entries
// load a few upstreams of unlike speed to four fifths, each with old reports of them.
func TestPolledCallsSeldomWait(t *testing.T) {
	const longWait = 50 * time.Millisecond
	for seed := range uint64(3) {
		var waited [2]int
		for i, polls := range []bool{false, true} {
			sim := newSimulation(64, 14, seed)
			sim.polls = polls
			sim.simulate(410, 30*time.Second)
			for _, wait := range sim.waits {
				if wait > longWait {
					waited[i]++
				}
			}
			t.Logf("seed %d, polls %t: %d of %d calls waited", seed, polls, waited[i], len(sim.waits))
		}
		if waited[1]*3 > waited[0] {
			t.Errorf("seed %d: %d calls waited with polls, want at most a third of %d", seed, waited[1], waited[0])
		}
	}
}

// Guards against polls of a service that has no free slot: each delays the call for nothing.
func TestSaturatedServiceIsNotPolled(t *testing.T) {
	sim := newSimulation(4, 6, 1)
	if sim.entries[0].Polls(criteria, sim.now) == 0 {
		t.Error("an idle service is not polled")
	}
	sim.simulate(500, 3*time.Second)
	for _, u := range sim.upstreams {
		u.running = u.slots
		load := u.load(sim.now)
		load.Waiting = 3
		for range 6 {
			p := sim.entries[0].Pick(criteria, nil, sim.now, sim.random)
			sim.entries[0].Done(p, kqcall.OK(), false, &load, sim.now)
		}
	}
	sim.now = sim.now.Add(200 * time.Millisecond)
	if n := sim.entries[0].Polls(criteria, sim.now); n > 0 {
		t.Errorf("a saturated service is polled %d times a call", n)
	}
}
