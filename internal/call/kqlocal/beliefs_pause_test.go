package kqlocal_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
)

// A node was held up for longer than an announcement lasts, and refused calls for its
// upstream once it went on, until the next announcement: it took its own absence for the
// upstream's silence, and looked for lapsed announcements before it read those that had
// come meanwhile. Its peers heard that the upstream had gone, and then of a new one, to
// be used with care.
func TestAnnouncementsOutliveANodesOwnPause(t *testing.T) {
	const ttl, look, pause = 3 * time.Second, 250 * time.Millisecond, 10 * time.Second
	now := time.Unix(1000, 0)
	var told [][]kqmember.Upstream
	u := kqlocal.New(ttl, func(list []kqmember.Upstream) { told = append(told, list) })
	a := kqlocal.Announcement{Service: "store", Version: "v1", Address: "127.0.0.1:1", Slots: 4}
	if err := u.Announce(a, now); err != nil {
		t.Fatal(err)
	}
	u.Sweep(now)
	now = now.Add(pause)
	u.Sweep(now)
	if _, ok := u.Find("store", ""); !ok || len(told) != 1 {
		t.Errorf("told %+v, want the upstream held as it was", told)
	}
	// One that is silent while the node looks must still lapse.
	for end := now.Add(ttl + look); !now.After(end); now = now.Add(look) {
		u.Sweep(now)
	}
	if _, ok := u.Find("store", ""); ok {
		t.Error("an upstream that is silent is held for ever")
	}
}

// The node is held up for most of a second only, and announcements last hardly less:
// each such pause made the node forget its upstream, and refuse calls for want of one,
// if it looked before it had read the announcements that waited. One that is really
// silent must still lapse, also on a node that is held up again and again.
func TestAnnouncementsOutliveAShortPause(t *testing.T) {
	now := time.Unix(1000, 0)
	var told []kqmember.Upstream
	u := kqlocal.New(600*time.Millisecond, func(list []kqmember.Upstream) { told = list })
	if err := u.Announce(kqlocal.Announcement{Service: "store", Version: "v1", Address: "127.0.0.1:1", Slots: 4}, now); err != nil {
		t.Fatal(err)
	}
	u.Sweep(now)
	now = now.Add(700 * time.Millisecond)
	if u.Sweep(now); len(told) != 1 {
		t.Fatal("the upstream was forgotten for the node's own pause")
	}
	for range 3 {
		now = now.Add(700 * time.Millisecond)
		u.Sweep(now)
	}
	if len(told) != 0 {
		t.Error("a silent upstream was kept for 2.8 s on a node that is held up")
	}
}
