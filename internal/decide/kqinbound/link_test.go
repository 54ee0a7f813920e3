package kqinbound_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqinbound"
)

// Guards against a link whose queue fills with bodies, so that small calls wait behind them: 27
// bodies of 60 KB a second offered to a link of 13 Mbit/s, which bears 16 beside other traffic.
// What is allowed in any second must take at most a second, and the rest must be refused.
func TestBodiesLeaveRoomOnTheLink(t *testing.T) {
	const bytes, perSecond, maxWait = 60000, 27, 300 * time.Millisecond
	l := kqinbound.New(13)
	now := time.Unix(1000, 0)
	var allowed, refused int
	var latest time.Time
	for range 10 * perSecond {
		now = now.Add(time.Second / perSecond)
		wait, ok := l.Reserve(bytes, maxWait, now)
		if !ok {
			refused++
			continue
		}
		allowed++
		if sendAt := now.Add(wait); sendAt.Before(latest) {
			t.Fatal("a later body is sent before an earlier one")
		} else {
			latest = sendAt
		}
		if wait > maxWait {
			t.Fatalf("a body waits for %s", wait)
		}
	}
	if share := float64(allowed*bytes*8) / 10 / 13e6; share < 0.55 || share > 0.65 || refused == 0 {
		t.Errorf("bodies use %.2f of the link, %d refused", share, refused)
	}
}

// Guards against bodies that are delayed on a link that has room.
func TestSingleBodiesDoNotWait(t *testing.T) {
	l := kqinbound.New(13)
	for i := range 10 {
		if wait, ok := l.Reserve(60000, 0, time.Unix(int64(i), 0)); !ok || wait > 0 {
			t.Fatalf("body %d waits for %s", i, wait)
		}
	}
}
