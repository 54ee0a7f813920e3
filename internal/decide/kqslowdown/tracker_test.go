package kqslowdown_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqslowdown"
)

const usual = 160 * time.Millisecond

var start = time.Unix(1_000_000, 0)

// A report that outlives its slow period would make the upstream look slow to all callers.
func TestReportIsBelievedForOnePeriod(t *testing.T) {
	var k kqslowdown.Tracker
	if s, fresh := k.Current(start); s != 1 || fresh {
		t.Errorf("without a report %v, %v, want 1, false", s, fresh)
	}
	k.Report(2.5, start)
	if got, want := k.Stretch(usual, start), 400*time.Millisecond; got != want {
		t.Errorf("work takes %v at the start of the period, want %v", got, want)
	}
	k.Report(2.5, start.Add(500*time.Millisecond))
	if got := k.Stretch(usual, start.Add(500*time.Millisecond)); got >= 400*time.Millisecond || got <= usual {
		t.Errorf("work takes %v near the period's end, want between %v and 400 ms", got, usual)
	}
	if s, fresh := k.Current(start.Add(500*time.Millisecond + kqslowdown.Period)); s != 1 || fresh {
		t.Errorf("after the period %v, %v, want 1, false", s, fresh)
	}
}

// If slow calls were learned as they are, the upstream would look slow for long after.
func TestWorkIsLearnedAtUsualSpeed(t *testing.T) {
	var k kqslowdown.Tracker
	k.Report(2.5, start)
	now := start.Add(400 * time.Millisecond)
	k.Report(2.5, now)
	if got := k.Normalize(400*time.Millisecond, usual, now); got < 159*time.Millisecond || got > 161*time.Millisecond {
		t.Errorf("a slow call counts as %v, want %v", got, usual)
	}
}

// An upstream that reports a slowdown which its calls do not show must not lose its calls.
func TestFalseReportsAreDoubted(t *testing.T) {
	var k kqslowdown.Tracker
	now := start
	for range 40 {
		k.Report(100, now)
		now = now.Add(usual)
		k.Normalize(usual, usual, now)
	}
	if s, _ := k.Current(now); s > 1.1 {
		t.Errorf("a slowdown of %.2f is believed, want at most 1.1", s)
	}
}
