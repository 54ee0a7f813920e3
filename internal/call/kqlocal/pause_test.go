package kqlocal_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
)

// Guards against a node that takes its own pause for an upstream's silence. After a pause
// longer than an announcement lasts, it would remove expired announcements before it reads
// those that have arrived meanwhile, and refuse calls until the next announcement. Its
// peers would see the upstream leave and then a new one, to which they send fewer calls,
// as to any that has just started.
func TestNodePauseDoesNotExpireAnnouncements(t *testing.T) {
	const ttl, interval, pause = 3 * time.Second, 250 * time.Millisecond, 10 * time.Second
	now := time.Unix(1000, 0)
	var published [][]kqmember.Upstream
	u := kqlocal.New(ttl, func(list []kqmember.Upstream) { published = append(published, list) })
	a := kqlocal.Announcement{Service: "store", Version: "v1", Address: "127.0.0.1:1", Slots: 4}
	if err := u.Announce(a, now); err != nil {
		t.Fatal(err)
	}
	u.Sweep(now)
	now = now.Add(pause)
	u.Sweep(now)
	if _, ok := u.Find("store", ""); !ok || len(published) != 1 {
		t.Errorf("published %+v, want the upstream kept and no new list", published)
	}
	// An upstream that is silent while the node sweeps must still expire.
	for end := now.Add(ttl + interval); !now.After(end); now = now.Add(interval) {
		u.Sweep(now)
	}
	if _, ok := u.Find("store", ""); ok {
		t.Error("a silent upstream did not expire")
	}
}

// Guards against the same fault with a pause just longer than a short ttl: a node that
// sweeps before it has read the waiting announcements would remove its upstream and refuse
// calls after each pause. An upstream that is really silent must still expire, even on a
// node that is paused again and again.
func TestShortNodePauseDoesNotExpireAnnouncements(t *testing.T) {
	now := time.Unix(1000, 0)
	var published []kqmember.Upstream
	u := kqlocal.New(600*time.Millisecond, func(list []kqmember.Upstream) { published = list })
	if err := u.Announce(kqlocal.Announcement{Service: "store", Version: "v1", Address: "127.0.0.1:1", Slots: 4}, now); err != nil {
		t.Fatal(err)
	}
	u.Sweep(now)
	now = now.Add(700 * time.Millisecond)
	if u.Sweep(now); len(published) != 1 {
		t.Fatal("the upstream was removed because of the node's own pause")
	}
	for range 3 {
		now = now.Add(700 * time.Millisecond)
		u.Sweep(now)
	}
	if len(published) != 0 {
		t.Error("a silent upstream was kept for 2.8 s on a node that is paused repeatedly")
	}
}
