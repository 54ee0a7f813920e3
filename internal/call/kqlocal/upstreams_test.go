package kqlocal_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
)

// Guards against ignoring announcements of a restarted upstream, which would leave its
// slots idle, and against applying late announcements of its former start.
func TestRestartedUpstreamIsAccepted(t *testing.T) {
	now := time.Unix(1000, 0)
	var published []kqmember.Upstream
	u := kqlocal.New(time.Minute, func(list []kqmember.Upstream) { published = list })
	announce := func(a kqlocal.Announcement) {
		t.Helper()
		a.Service, a.Version, a.Address, a.Slots, a.Instance = "store", "v1", "127.0.0.1:1", 4, "one"
		if err := u.Announce(a, now); err != nil {
			t.Fatal(err)
		}
	}
	announce(kqlocal.Announcement{StartedMS: 10, Sequence: 5})
	if err := u.Announce(kqlocal.Announcement{Instance: "one", Gone: true}, now); err != nil {
		t.Fatal(err)
	}
	announce(kqlocal.Announcement{StartedMS: 10, Sequence: 6})
	if len(published) != 0 {
		t.Error("a late announcement of the former start was applied")
	}
	announce(kqlocal.Announcement{StartedMS: 20, Sequence: 1})
	if len(published) != 1 {
		t.Error("the announcement of the new start was ignored")
	}
	announce(kqlocal.Announcement{StartedMS: 10, Sequence: 9, Draining: true})
	if len(published) != 1 || published[0].Draining {
		t.Error("an announcement of the former start changed the new one")
	}
}

// Guards against an older announcement that arrives late: it says that the upstream is
// ready and must not undo a later one that says that it drains.
func TestOlderAnnouncementDoesNotUndoDraining(t *testing.T) {
	now := time.Unix(1000, 0)
	var published []kqmember.Upstream
	u := kqlocal.New(time.Minute, func(list []kqmember.Upstream) { published = list })
	for _, a := range []kqlocal.Announcement{{Sequence: 1}, {Sequence: 3, Draining: true}, {Sequence: 2}} {
		a.Service, a.Version, a.Address, a.Slots, a.Instance, a.StartedMS = "store", "v1", "127.0.0.1:1", 4, "one", 10
		if err := u.Announce(a, now); err != nil {
			t.Fatal(err)
		}
	}
	if len(published) != 1 || !published[0].Draining {
		t.Errorf("published %+v, want one that drains", published)
	}
}

// Guards against sending calls to a dead upstream until its announcement expires, and
// against one that is added and removed all the time. Each withdrawal lasts twice as
// long as the one before.
func TestRepeatedWithdrawalsLastLonger(t *testing.T) {
	now := time.Unix(1000, 0)
	var published []kqmember.Upstream
	u := kqlocal.New(time.Minute, func(list []kqmember.Upstream) { published = list })
	a := kqlocal.Announcement{Service: "store", Version: "v1", Address: "127.0.0.1:1", Slots: 4, Instance: "one", StartedMS: 10}
	announce := func() {
		t.Helper()
		a.Sequence++
		if err := u.Announce(a, now); err != nil {
			t.Fatal(err)
		}
	}
	announce()
	for _, duration := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		u.Withdraw(a.Address, now)
		if len(published) != 0 {
			t.Fatal("the upstream is still published after its withdrawal")
		}
		now = now.Add(duration - time.Millisecond)
		if announce(); len(published) != 0 {
			t.Errorf("the upstream is published again %v after its withdrawal", duration-time.Millisecond)
		}
		now = now.Add(time.Millisecond)
		if announce(); len(published) != 1 {
			t.Errorf("the upstream is not published again %v after its withdrawal", duration)
		}
	}
	u.Withdraw(a.Address, now)
	a.StartedMS, a.Sequence = 20, 0
	if announce(); len(published) != 1 {
		t.Error("the upstream's next start is not published")
	}
}

// Guards against an upstream that becomes cold again without a restart and is taken for warm.
func TestUpstreamBecomesColdAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	var published []kqmember.Upstream
	u := kqlocal.New(time.Minute, func(list []kqmember.Upstream) { published = list })
	announce := func(sequence uint64, left time.Duration) {
		t.Helper()
		err := u.Announce(kqlocal.Announcement{
			Service: "store", Version: "v1", Address: "127.0.0.1:1", Slots: 4, Instance: "one", StartedMS: 10, Sequence: sequence, WarmUpLeft: left,
		}, now)
		if err != nil {
			t.Fatal(err)
		}
	}
	announce(1, 3*time.Second)
	now = now.Add(time.Second)
	announce(2, 2100*time.Millisecond)
	if want := now.Add(2 * time.Second); !u.ColdUntil("127.0.0.1:1").Equal(want) {
		t.Errorf("cold until %v after a late announcement, want %v", u.ColdUntil("127.0.0.1:1"), want)
	}
	now = now.Add(10 * time.Second)
	announce(3, 0)
	if until := u.ColdUntil("127.0.0.1:1"); until.After(now) {
		t.Errorf("cold until %v, want warm at %v", until, now)
	}
	now = now.Add(10 * time.Second)
	published = nil
	announce(4, 3*time.Second)
	if want := now.Add(3 * time.Second); !u.ColdUntil("127.0.0.1:1").Equal(want) {
		t.Errorf("cold until %v, want %v", u.ColdUntil("127.0.0.1:1"), want)
	}
	if len(published) != 1 || !published[0].WarmFrom.Equal(now.Add(3*time.Second)) {
		t.Errorf("published %+v, want the new cold start", published)
	}
}
