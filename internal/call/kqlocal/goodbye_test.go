package kqlocal_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
)

// Guards against sending calls to an upstream that has said goodbye. An upstream
// restarts under its instance name and address, none of its announcements arrives, and
// it says goodbye. If a goodbye counted only for a start that the node knows, the former
// start's announcement would stay until it expires.
func TestGoodbyeOfUnannouncedStartRemovesUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	var published []kqmember.Upstream
	u := kqlocal.New(time.Minute, func(list []kqmember.Upstream) { published = list })
	for _, a := range []kqlocal.Announcement{
		{Service: "store", Version: "v1", Address: "127.0.0.1:1", Slots: 4, Instance: "one", StartedMS: 10, Sequence: 7},
		{Instance: "one", StartedMS: 20, Gone: true},
	} {
		if err := u.Announce(a, now); err != nil {
			t.Fatal(err)
		}
	}
	if len(published) != 0 {
		t.Errorf("published %+v after the goodbye, want none", published)
	}
}

// Guards against a late goodbye of a former start that removes the next one, which has
// already announced itself under the same instance name.
func TestLateGoodbyeKeepsNextStart(t *testing.T) {
	now := time.Unix(1000, 0)
	var published []kqmember.Upstream
	u := kqlocal.New(time.Minute, func(list []kqmember.Upstream) { published = list })
	next := kqlocal.Announcement{Service: "store", Version: "v1", Address: "127.0.0.1:1", Slots: 4, Instance: "one", StartedMS: 20, Sequence: 1}
	for _, a := range []kqlocal.Announcement{next, {Instance: "one", StartedMS: 10, Gone: true}, next} {
		if err := u.Announce(a, now); err != nil {
			t.Fatal(err)
		}
	}
	if len(published) != 1 {
		t.Errorf("published %+v, want the next start's", published)
	}
}
