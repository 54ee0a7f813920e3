package kqlimit_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqlimit"
)

const (
	slots = 8
	work  = 40 * time.Millisecond
)

// full plays calls with all allowed slots taken, each of which takes what the
// upstream needs at that number, and returns the mean calls a second.
func full(l *kqlimit.Limit, needs func(running int) time.Duration) float64 {
	const calls = 5000
	var spent time.Duration
	for range calls {
		spent += needs(l.Allowed()) / time.Duration(l.Allowed())
		l.Learn(needs(l.Allowed()), l.Allowed())
	}
	return calls / spent.Seconds()
}

// An upstream announces 8 slots and can work on 4 calls; with more they slow
// each other down fourfold. With every slot taken half as many calls are
// answered, and late; the gate must find out by itself.
func TestAnnouncedSlotsMislead(t *testing.T) {
	needs := func(running int) time.Duration {
		if running > 4 {
			return 4 * work
		}
		return work
	}
	l := kqlimit.New(slots)
	l.Learn(work, 1)
	got, without := full(l, needs), slots/needs(slots).Seconds()
	if got < 1.25*without {
		t.Errorf("%.0f calls a second, against %.0f with every slot taken", got, without)
	}
}

// A database behind the upstream becomes slow, so that every call takes five
// times as long, however many run. Taking slots away would only make less of
// what there is; after a try all must be allowed again.
func TestSlownessThatIsNotLoad(t *testing.T) {
	l := kqlimit.New(slots)
	l.Learn(work, 1)
	full(l, func(int) time.Duration { return 5 * work })
	if l.Allowed() != slots {
		t.Errorf("%d slots are allowed, want all %d", l.Allowed(), slots)
	}
}
