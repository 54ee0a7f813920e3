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

// saturate simulates calls with all allowed slots in use, each with the latency that the
// upstream has at that concurrency, and returns the mean throughput in calls a second.
func saturate(l *kqlimit.Limit, workAt func(running int) time.Duration) float64 {
	const calls = 5000
	var spent time.Duration
	for range calls {
		spent += workAt(l.Allowed()) / time.Duration(l.Allowed())
		l.Observe(workAt(l.Allowed()), l.Allowed())
	}
	return calls / spent.Seconds()
}

// An upstream announces 8 slots but can run 4 calls; with more, each takes four times as
// long, which halves the throughput. The limit must fall.
func TestLimitFallsBelowAnnouncedSlots(t *testing.T) {
	workAt := func(running int) time.Duration {
		if running > 4 {
			return 4 * work
		}
		return work
	}
	l := kqlimit.New(slots)
	l.Observe(work, 1)
	got, without := saturate(l, workAt), slots/workAt(slots).Seconds()
	if got < 1.25*without {
		t.Errorf("%.0f calls a second with the limit, %.0f without, want 1.25 times as many", got, without)
	}
}

// A slow database makes every call take five times as long, at any concurrency.
// Withholding slots would only reduce the throughput, so after an attempt all must be
// allowed again.
func TestLimitRecoversIfLoadIsNotTheCause(t *testing.T) {
	l := kqlimit.New(slots)
	l.Observe(work, 1)
	saturate(l, func(int) time.Duration { return 5 * work })
	if l.Allowed() != slots {
		t.Errorf("%d slots are allowed, want all %d", l.Allowed(), slots)
	}
}
