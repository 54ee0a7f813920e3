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
