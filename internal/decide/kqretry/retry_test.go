package kqretry_test

import (
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqretry"
)

const (
	levels = 13
	calls  = 200000
)

// Thirteen services call each other in a chain, and every call fails for the same reason.
// If every level retried, the last service would get thousands of times its load and could
// never recover. The retries of all levels together must add at most a tenth.
func TestRetriesAcrossLevelsAreBounded(t *testing.T) {
	for _, reason := range []kqcall.Reason{kqcall.QueueFull, kqcall.RefusedByUpstream, kqcall.ConnectFailed, kqcall.NoUpstream, kqcall.Cut} {
		load := calls
		for depth := range levels {
			b := kqretry.New(depth == 0)
			sent := 0
			for range load {
				b.Earn()
				sent++
				for tries := 1; tries < 3 && b.Spend(kqcall.Refuse(reason), true); tries++ {
					sent++
				}
			}
			load = sent
		}
		if maxLoad := calls + calls/10; load > maxLoad {
			t.Errorf("%s: %d calls became %d at the last of %d levels, want at most %d", reason, calls, load, levels, maxLoad)
		}
	}
}

// The connection breaks after the upstream has received the call. Retrying an order might
// charge the customer twice, so only idempotent calls may be retried.
func TestUnknownOutcomeIsRetriedOnlyIfIdempotent(t *testing.T) {
	b := kqretry.New(true)
	if b.Spend(kqcall.UnknownOutcome(kqcall.Cut), false) {
		t.Error("a call that may have run is retried")
	}
	if !b.Spend(kqcall.UnknownOutcome(kqcall.Cut), true) {
		t.Error("an idempotent call is not retried")
	}
}
