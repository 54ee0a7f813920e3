package kqpick_test

import (
	"testing"
	"time"
)

// Half of the upstreams fail every tenth call while their health checks pass. No single
// entry sends them enough calls to detect this. The calls are not idempotent, so each
// failure reaches a caller.
func TestFailingUpstreamsGetFewerCalls(t *testing.T) {
	for seed := range uint64(3) {
		sim := newSimulation(18, 14, seed)
		for i := 0; i < len(sim.upstreams); i += 2 {
			sim.upstreams[nameOf(i)].failShare = 0.1
		}
		sim.simulate(200, 30*time.Second)
		failed := 0
		for _, u := range sim.upstreams {
			failed += u.failed
		}
		t.Logf("seed %d: %d of %d calls failed", seed, failed, len(sim.took))
		if failed*16 > len(sim.took) {
			t.Errorf("seed %d: %d of %d calls failed, want at most 1 in 16 where half of the upstreams fail 1 in 10", seed, failed, len(sim.took))
		}
	}
}

// A burst arrives while half of the upstreams fail every tenth call, or 3 s after they
// have recovered. If entries avoided those upstreams, the others would be overloaded, and
// nearly half of the calls would be late to avoid one failure in ten.
func TestFailingUpstreamsServeABurst(t *testing.T) {
	for seed := range uint64(3) {
		for _, recovery := range []time.Duration{0, 3 * time.Second} {
			sim := newSimulation(18, 14, seed)
			for i := 0; i < len(sim.upstreams); i += 2 {
				sim.upstreams[nameOf(i)].failShare = 0.1
			}
			sim.simulate(200, 4*time.Second)
			if recovery > 0 {
				for _, u := range sim.upstreams {
					u.failShare = 0
				}
				sim.simulate(200, recovery)
			}
			before, late := len(sim.took), 0
			sim.simulate(430, 5*time.Second)
			burst := sim.took[before:]
			for _, d := range burst {
				if d > target {
					late++
				}
			}
			t.Logf("seed %d, recovered for %v: %d of %d calls of the burst late", seed, recovery, late, len(burst))
			if late*500 > len(burst) {
				t.Errorf("seed %d, recovered for %v: %d of %d calls of the burst late, want at most 1 in 500", seed, recovery, late, len(burst))
			}
		}
	}
}
