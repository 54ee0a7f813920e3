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

// Thirteen services call each other in a row and every one of them fails,
// whatever the reason. If each level sent its calls again, the last one would
// get thousands of times its load and could never come back; all levels'
// retries together must stay within a tenth.
func TestRetriesThirteenDeep(t *testing.T) {
	for _, reason := range []kqcall.Reason{kqcall.QueueFull, kqcall.Shed, kqcall.ConnectFailed, kqcall.NoUpstream, kqcall.Cut} {
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
		if most := calls + calls/10; load > most {
			t.Errorf("%s: %d calls became %d at the last of %d levels, want at most %d", reason, calls, load, levels, most)
		}
	}
}

// The upstream has the call when the connection breaks. Sent again, an order
// might be paid twice; only what is idempotent may be.
func TestUnknownIsSentAgainOnlyIfIdempotent(t *testing.T) {
	b := kqretry.New(true)
	if b.Spend(kqcall.Lose(kqcall.Cut), false) {
		t.Error("a call that may have run is sent again")
	}
	if !b.Spend(kqcall.Lose(kqcall.Cut), true) {
		t.Error("an idempotent call is not sent again")
	}
}
