package kqpick_test

import (
	"testing"
	"time"
)

// Half of a service's upstreams begin to fail every tenth call while their health
// checks stay good. No entry alone sends them enough calls to judge them by. Orders
// must not be sent again, so that each failure is one that its caller sees.
func TestUpstreamsThatFailGetFewerCalls(t *testing.T) {
	for seed := range uint64(3) {
		w := newWorld(18, 14, seed)
		for i := 0; i < len(w.upstreams); i += 2 {
			w.upstreams[nameOf(i)].fails = 0.1
		}
		w.play(200, 30*time.Second)
		failed := 0
		for _, u := range w.upstreams {
			failed += u.failed
		}
		t.Logf("seed %d: %d of %d calls failed", seed, failed, len(w.took))
		if failed*25 > len(w.took) {
			t.Errorf("seed %d: %d of %d calls failed, want at most 1 in 25 where half of the upstreams fail 1 in 10", seed, failed, len(w.took))
		}
	}
}

// The same upstreams become well again, and three seconds later many callers come at
// once. If entries still kept away from half of the upstreams, callers would wait in
// the queues of the others beyond what they allow.
func TestUpstreamsThatFailedServeABurst(t *testing.T) {
	for seed := range uint64(3) {
		w := newWorld(18, 14, seed)
		for i := 0; i < len(w.upstreams); i += 2 {
			w.upstreams[nameOf(i)].fails = 0.1
		}
		w.play(200, 4*time.Second)
		for _, u := range w.upstreams {
			u.fails = 0
		}
		w.play(200, 3*time.Second)
		before, late := len(w.took), 0
		w.play(430, 5*time.Second)
		burst := w.took[before:]
		for _, d := range burst {
			if d > target {
				late++
			}
		}
		t.Logf("seed %d: %d of %d calls of the burst late", seed, late, len(burst))
		if late*500 > len(burst) {
			t.Errorf("seed %d: %d of %d calls of the burst late, want at most 1 in 500", seed, late, len(burst))
		}
	}
}
