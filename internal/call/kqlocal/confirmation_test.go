package kqlocal_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
)

// Guards against calls to an upstream that left before a kill of all processes and whose late
// announcement is taken for that of a live one; and against a live one that is not used.
func TestUpstreamFromBeforeTheStartIsConfirmed(t *testing.T) {
	const ttl, interval, sweep = 8 * time.Second, 1500 * time.Millisecond, 250 * time.Millisecond
	start := time.Unix(1000, 0)
	before, after := start.UnixMilli()-5000, start.UnixMilli()+500
	type arrival struct {
		at       time.Duration
		sequence uint64
		started  int64
	}
	live := func(from, to time.Duration) (list []arrival) {
		for at := from; at < to; at += interval {
			list = append(list, arrival{at, uint64(at / time.Millisecond), before})
		}
		return list
	}
	for name, c := range map[string]struct {
		arrivals []arrival
		// pausedAt is when the node is paused for pause.
		pausedAt, pause time.Duration
		// used and unused are times after the start.
		used, unused []time.Duration
	}{
		"one late announcement": {
			arrivals: []arrival{{time.Second, 9, before}},
			used:     []time.Duration{time.Second, 2750 * time.Millisecond}, unused: []time.Duration{3250 * time.Millisecond, 6 * time.Second},
		},
		"one later than a live one's second": {
			arrivals: []arrival{{3500 * time.Millisecond, 9, before}}, unused: []time.Duration{3500 * time.Millisecond, 6 * time.Second},
		},
		"the same one repeated": {
			arrivals: []arrival{{time.Second, 9, before}, {2 * time.Second, 9, before}}, unused: []time.Duration{3250 * time.Millisecond},
		},
		"two that were delayed together": {
			arrivals: []arrival{{time.Second, 8, before}, {1250 * time.Millisecond, 9, before}}, unused: []time.Duration{3250 * time.Millisecond},
		},
		"two out of order": {
			arrivals: []arrival{{time.Second, 9, before}, {2 * time.Second, 8, before}}, unused: []time.Duration{3250 * time.Millisecond},
		},
		"live, first at once": {
			arrivals: live(0, 20*time.Second), used: []time.Duration{0, 3 * time.Second, 3250 * time.Millisecond, 18 * time.Second},
		},
		"live, first after an interval": {
			arrivals: live(1250*time.Millisecond, 20*time.Second), used: []time.Duration{1250 * time.Millisecond, 3 * time.Second, 3250 * time.Millisecond, 18 * time.Second},
		},
		"live, late for the first time": {
			arrivals: live(3500*time.Millisecond, 20*time.Second), unused: []time.Duration{4 * time.Second}, used: []time.Duration{5 * time.Second, 18 * time.Second},
		},
		"live, then late by seconds": {
			arrivals: append(live(time.Second, 3*time.Second), arrival{7 * time.Second, 5000, before}), used: []time.Duration{4 * time.Second, 7 * time.Second, 14 * time.Second},
		},
		"live, on a node that is paused": {
			arrivals: live(time.Second, 20*time.Second), pausedAt: 2 * time.Second, pause: 3 * time.Second, used: []time.Duration{time.Second, 5 * time.Second, 5250 * time.Millisecond, 12 * time.Second},
		},
		"started after the process": {
			arrivals: []arrival{{time.Second, 1, after}}, used: []time.Duration{time.Second, 4 * time.Second, 8 * time.Second},
		},
		"started anew": {
			arrivals: []arrival{{time.Second, 9, before}, {2 * time.Second, 1, after}}, used: []time.Duration{time.Second, 4 * time.Second, 8 * time.Second},
		},
		"announced long after the start": {
			arrivals: []arrival{{61 * time.Second, 9, before}}, used: []time.Duration{61 * time.Second, 65 * time.Second},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var published []kqmember.Upstream
			held := 0
			u := kqlocal.New(ttl, func(list []kqmember.Upstream) { published = list }, kqlocal.WithConfirmation(start, interval, func(kqlocal.Announcement) { held++ }))
			state := make(map[time.Duration]bool)
			next := 0
			for passed := time.Duration(0); passed <= 70*time.Second; passed += sweep {
				if c.pause > 0 && passed == c.pausedAt {
					passed += c.pause
					u.Sweep(start.Add(passed))
				}
				for ; next < len(c.arrivals) && c.arrivals[next].at <= passed; next++ {
					a := c.arrivals[next]
					if err := u.Announce(kqlocal.Announcement{Service: "store", Version: "v1", Address: "127.0.0.1:1", Slots: 4, Instance: "one", StartedMS: a.started, Sequence: a.sequence}, start.Add(passed)); err != nil {
						t.Fatal(err)
					}
				}
				u.Sweep(start.Add(passed))
				_, found := u.Find("store", "")
				if used := len(published) > 0; found != used || len(u.Announcements()) > 0 != used {
					t.Fatalf("after %v, published: %v, found: %v, listed: %v", passed, used, found, len(u.Announcements()) > 0)
				}
				state[passed] = len(published) > 0
			}
			for _, at := range c.used {
				if !state[at] {
					t.Errorf("not used after %v", at)
				}
			}
			for _, at := range c.unused {
				if state[at] {
					t.Errorf("used after %v", at)
				}
			}
			if len(c.unused) == 0 && held > 0 {
				t.Errorf("use was ended %d times", held)
			}
		})
	}
}

// Guards against calls to an upstream that has left in place of the one that has replaced it:
// a late announcement makes it the one that was heard of last.
func TestConfirmedUpstreamIsPreferred(t *testing.T) {
	start := time.Unix(1000, 0)
	u := kqlocal.New(8*time.Second, func([]kqmember.Upstream) {}, kqlocal.WithConfirmation(start, 1500*time.Millisecond, func(kqlocal.Announcement) {}))
	announce := func(instance string, sequence uint64, at time.Duration) {
		t.Helper()
		a := kqlocal.Announcement{Service: "store", Version: "v1", Address: "127.0.0.1:1", Slots: 4, Instance: "new", StartedMS: start.UnixMilli() - 1000, Sequence: sequence}
		if instance == "old" {
			a.Instance, a.Address, a.StartedMS = "old", "127.0.0.1:2", start.UnixMilli()-9000
		}
		if err := u.Announce(a, start.Add(at)); err != nil {
			t.Fatal(err)
		}
	}
	announce("new", 1, 200*time.Millisecond)
	announce("new", 2, 1700*time.Millisecond)
	announce("old", 7, 1800*time.Millisecond)
	if a, ok := u.Find("store", "v1"); !ok || a.Instance != "new" {
		t.Errorf("found %q, want the confirmed upstream", a.Instance)
	}
}
