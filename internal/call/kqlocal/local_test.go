package kqlocal_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
)

// An upstream ends and starts again under its old name. What it says of its new
// start must be taken in at once, or its slots stand idle; what it said of its
// old one must not.
func TestUpstreamStartsAgainUnderItsName(t *testing.T) {
	now := time.Unix(1000, 0)
	var told []kqmember.Upstream
	u := kqlocal.New(time.Minute, func(list []kqmember.Upstream) { told = list })
	say := func(a kqlocal.Announcement) {
		t.Helper()
		a.Service, a.Version, a.Address, a.Slots, a.Instance = "store", "v1", "127.0.0.1:1", 4, "one"
		if err := u.Announce(a, now); err != nil {
			t.Fatal(err)
		}
	}
	say(kqlocal.Announcement{Born: 10, Sequence: 5})
	if err := u.Announce(kqlocal.Announcement{Instance: "one", Gone: true}, now); err != nil {
		t.Fatal(err)
	}
	say(kqlocal.Announcement{Born: 10, Sequence: 6})
	if len(told) != 0 {
		t.Error("an earlier start is back")
	}
	say(kqlocal.Announcement{Born: 20, Sequence: 1})
	if len(told) != 1 {
		t.Error("the new start is not taken in")
	}
	say(kqlocal.Announcement{Born: 10, Sequence: 9, Draining: true})
	if len(told) != 1 || told[0].Draining {
		t.Error("the earlier start's word counts for the new one")
	}
}

// Two announcements of one upstream cross on their way. The older one, which says
// that it is ready, must not undo that it drains.
func TestAnnouncementsThatCross(t *testing.T) {
	now := time.Unix(1000, 0)
	var told []kqmember.Upstream
	u := kqlocal.New(time.Minute, func(list []kqmember.Upstream) { told = list })
	for _, a := range []kqlocal.Announcement{{Sequence: 1}, {Sequence: 3, Draining: true}, {Sequence: 2}} {
		a.Service, a.Version, a.Address, a.Slots, a.Instance, a.Born = "store", "v1", "127.0.0.1:1", 4, "one", 10
		if err := u.Announce(a, now); err != nil {
			t.Fatal(err)
		}
	}
	if len(told) != 1 || !told[0].Draining {
		t.Errorf("told %+v, want one that drains", told)
	}
}

// Guards against an upstream that has died and goes on being sent calls until its
// announcement lapses, and against one that comes and goes all the time.
func TestUpstreamThatTakesNoConnectionsIsLeftOut(t *testing.T) {
	now := time.Unix(1000, 0)
	var told []kqmember.Upstream
	u := kqlocal.New(time.Minute, func(list []kqmember.Upstream) { told = list })
	a := kqlocal.Announcement{Service: "store", Version: "v1", Address: "127.0.0.1:1", Slots: 4, Instance: "one", Born: 10}
	say := func() {
		t.Helper()
		a.Sequence++
		if err := u.Announce(a, now); err != nil {
			t.Fatal(err)
		}
	}
	say()
	for _, out := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		u.Withdraw(a.Address, now)
		if len(told) != 0 {
			t.Fatal("it is not left out")
		}
		now = now.Add(out - time.Millisecond)
		if say(); len(told) != 0 {
			t.Errorf("it is back %v after it was left out", out-time.Millisecond)
		}
		now = now.Add(time.Millisecond)
		if say(); len(told) != 1 {
			t.Errorf("it is not back %v after it was left out", out)
		}
	}
	u.Withdraw(a.Address, now)
	a.Born, a.Sequence = 20, 0
	if say(); len(told) != 1 {
		t.Error("its next start is left out")
	}
}
