package kqfailrate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqfailrate"
)

const interval = 25 * time.Millisecond

// An upstream starts to fail nearly half of its calls while its health check passes. Until
// the reported failure rate rises, entries keep sending calls that fail there.
func TestRateShowsPartialFailure(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 2))
		var f kqfailrate.FailureRate
		now := time.Unix(1000, 0)
		for range 400 {
			now = now.Add(interval)
			f.Record(random.Float64() < 0.004, now)
		}
		if s := f.Rate(now); s > 0 {
			t.Errorf("seed %d: failure rate is %.2f for a healthy upstream, want 0", seed, s)
		}
		for range 24 {
			now = now.Add(interval)
			f.Record(random.Float64() < 0.45, now)
		}
		if s := f.Rate(now); s < 0.15 || s > 0.9 {
			t.Errorf("seed %d: failure rate is %.2f after 24 calls with failure probability 0.45, want 0.15 to 0.9", seed, s)
		}
		if s := f.Rate(now.Add(20 * time.Second)); s > 0 {
			t.Errorf("seed %d: failure rate is %.2f 20 s after the last call, want 0", seed, s)
		}
	}
}
