package kqfailing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqfailing"
)

const gap = 25 * time.Millisecond

// An upstream begins to fail nearly every second call, and its health check stays
// good. Until that is told, callers' orders go on failing there.
func TestTellsAnUpstreamThatFailsPartOfItsCalls(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 2))
		var f kqfailing.Failing
		now := time.Unix(1000, 0)
		for range 400 {
			now = now.Add(gap)
			f.Note(random.Float64() < 0.004, now)
		}
		if s := f.Share(now); s > 0 {
			t.Errorf("seed %d: a well upstream is told to fail %.2f of its calls", seed, s)
		}
		for range 24 {
			now = now.Add(gap)
			f.Note(random.Float64() < 0.45, now)
		}
		if s := f.Share(now); s < 0.15 || s > 0.9 {
			t.Errorf("seed %d: after 24 calls of which 0.45 failed %.2f is told", seed, s)
		}
		if s := f.Share(now.Add(20 * time.Second)); s > 0 {
			t.Errorf("seed %d: 20 s after its last call %.2f is told still", seed, s)
		}
	}
}
