package kqcallerretry_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqcallerretry"
)

var start = time.Unix(1000, 0)

// A caller is refused and retries several times. Its target counts from the first attempt.
// If it counted from each retry, the call would be queued before calls that can still meet
// their targets.
func TestRetryKeepsFirstAttemptTime(t *testing.T) {
	r := kqcallerretry.New()
	for i := range 3 {
		now := start.Add(time.Duration(i) * 300 * time.Millisecond)
		first := r.TakeFirstAttempt(1, now)
		if !first.Equal(start) {
			t.Errorf("attempt %d: first attempt is %v, want %v", i+1, first, start)
		}
		r.RecordFailure(1, first, start.Add(2*time.Second))
	}
	if late := start.Add(3 * time.Second); !r.TakeFirstAttempt(1, late).Equal(late) {
		t.Error("a call after the caller's deadline counts as a retry")
	}
}

// Two identical requests arrive at once and one is refused. Only one later call may count
// as a retry.
func TestOneRefusalMatchesOneRetry(t *testing.T) {
	r := kqcallerretry.New()
	r.RecordFailure(1, start, start.Add(time.Second))
	now := start.Add(100 * time.Millisecond)
	if !r.TakeFirstAttempt(1, now).Equal(start) || !r.TakeFirstAttempt(1, now).Equal(now) {
		t.Error("want one retry and one new call")
	}
}

// Many refused callers never retry. Memory must stay bounded, and the latest calls must
// still be recognized.
func TestOldestCallsAreForgotten(t *testing.T) {
	r := kqcallerretry.New()
	for i := range 100000 {
		r.RecordFailure(kqcallerretry.Key(i), start, start.Add(time.Second))
	}
	if !r.TakeFirstAttempt(99999, start.Add(time.Millisecond)).Equal(start) {
		t.Error("the latest call is forgotten")
	}
	if now := start.Add(time.Millisecond); !r.TakeFirstAttempt(1, now).Equal(now) {
		t.Error("the oldest call is still remembered")
	}
}
