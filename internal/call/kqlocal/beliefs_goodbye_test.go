package kqlocal_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
)

// An upstream starts again under its name and address, none of its announcements
// arrives, and it says goodbye. Its node acknowledged that and went on sending to the
// address, by what the former start had announced, until that lapsed: the goodbye
// counted only for a start that the node had heard of.
func TestGoodbyeOfAStartThatWasNeverAnnounced(t *testing.T) {
	now := time.Unix(1000, 0)
	var told []kqmember.Upstream
	u := kqlocal.New(time.Minute, func(list []kqmember.Upstream) { told = list })
	for _, a := range []kqlocal.Announcement{
		{Service: "store", Version: "v1", Address: "127.0.0.1:1", Slots: 4, Instance: "one", Born: 10, Sequence: 7},
		{Instance: "one", Born: 20, Gone: true},
	} {
		if err := u.Announce(a, now); err != nil {
			t.Fatal(err)
		}
	}
	if len(told) != 0 {
		t.Errorf("told %+v after the goodbye, want none", told)
	}
}

// The goodbye of a former start arrives late, once the next start under the same name
// has announced itself. The next one must go on being used.
func TestLateGoodbyeOfAFormerStart(t *testing.T) {
	now := time.Unix(1000, 0)
	var told []kqmember.Upstream
	u := kqlocal.New(time.Minute, func(list []kqmember.Upstream) { told = list })
	next := kqlocal.Announcement{Service: "store", Version: "v1", Address: "127.0.0.1:1", Slots: 4, Instance: "one", Born: 20, Sequence: 1}
	for _, a := range []kqlocal.Announcement{next, {Instance: "one", Born: 10, Gone: true}, next} {
		if err := u.Announce(a, now); err != nil {
			t.Fatal(err)
		}
	}
	if len(told) != 1 {
		t.Errorf("told %+v, want the next start's", told)
	}
}
