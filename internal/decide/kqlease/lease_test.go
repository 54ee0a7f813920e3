package kqlease_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqlease"
)

var start = time.Unix(1000, 0)

// A holder renews its lease in time, and gives it up if renewals fail, if it was paused, or
// if its clock jumps back. If it kept the lease after it expired, it would read from the
// platform beside the next holder.
func TestHolderRenewsAndGivesUpByLocalClock(t *testing.T) {
	var h kqlease.Holder
	if step := h.Next(kqlease.Situation{}, start); step != kqlease.Acquire {
		t.Fatalf("next step with a vacant reader lease is %s, want Acquire", step)
	}
	h.RecordRenewal(start)
	for _, c := range []struct {
		after time.Duration
		want  kqlease.Step
	}{
		{time.Second, kqlease.Wait},
		{kqlease.TTL / 3, kqlease.Renew},
		// A renewal is in flight, since Next records the time of each attempt.
		{kqlease.TTL/3 + time.Millisecond, kqlease.Wait},
		{kqlease.TTL - kqlease.TTL/4, kqlease.GiveUp},
		{time.Hour, kqlease.GiveUp},
		// The clock went back.
		{-time.Second, kqlease.GiveUp},
	} {
		if got := h.Next(kqlease.Situation{}, start.Add(c.after)); got != c.want {
			t.Errorf("after %s: next step is %s, want %s", c.after, got, c.want)
		}
	}
}

// Both readers of a domain of 80 servers die together. If every server tried to acquire
// a vacant reader lease, the load on the platform would grow with the fleet.
func TestOnlyFirstMembersTryVacantLease(t *testing.T) {
	attempts := 0
	for rank := range 80 {
		var h kqlease.Holder
		for at := time.Duration(0); at < 3*time.Second; at += 100 * time.Millisecond {
			if h.Next(kqlease.Situation{Rank: rank}, start.Add(at)) == kqlease.Acquire {
				attempts++
			}
		}
	}
	if attempts == 0 || attempts > 4 {
		t.Fatalf("%d attempts in 3 s, want 1 to 4", attempts)
	}
}
