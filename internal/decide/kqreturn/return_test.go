package kqreturn_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqreturn"
)

var start = time.Unix(1000, 0)

// A caller is refused, comes back, is refused again and comes back. Its answer is wanted
// in some time from its first call; counted from each anew, it would be queued before
// callers who can still have theirs in time.
func TestCallerWhoComesBackIsKnown(t *testing.T) {
	r := kqreturn.New()
	for i := range 3 {
		now := start.Add(time.Duration(i) * 300 * time.Millisecond)
		first := r.First(1, now)
		if !first.Equal(start) {
			t.Errorf("try %d: asks since %v, want %v", i+1, first, start)
		}
		r.Unserved(1, first, start.Add(2*time.Second))
	}
	if late := start.Add(3 * time.Second); !r.First(1, late).Equal(late) {
		t.Error("a call that comes after its caller's deadline counts as a return")
	}
}

// Two callers ask for the same at once, and one of them is refused. Only one call may
// count as a return.
func TestOneReturnForOneRefusal(t *testing.T) {
	r := kqreturn.New()
	r.Unserved(1, start, start.Add(time.Second))
	now := start.Add(100 * time.Millisecond)
	if !r.First(1, now).Equal(start) || !r.First(1, now).Equal(now) {
		t.Error("want one return and one new call")
	}
}

// Callers are refused who never come back. What is remembered of them must not grow
// without end, and the latest must still be known.
func TestMemoryIsBounded(t *testing.T) {
	r := kqreturn.New()
	for i := range 100000 {
		r.Unserved(kqreturn.Key(i), start, start.Add(time.Second))
	}
	if !r.First(99999, start.Add(time.Millisecond)).Equal(start) {
		t.Error("the latest is forgotten")
	}
	if now := start.Add(time.Millisecond); !r.First(1, now).Equal(now) {
		t.Error("the oldest is remembered")
	}
}
