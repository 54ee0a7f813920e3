package kqlocal_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
)

// Guards against calls to an upstream that left and whose departure nobody remembers, since
// all processes were killed: it was used for as long as one that announces itself. Live
// upstreams must stay in use, also on a node that is paused.
func TestRecoveredUpstreamIsRemovedUnlessItAnnouncesItself(t *testing.T) {
	const ttl, recoveredTTL, interval = 8 * time.Second, 2 * time.Second, 250 * time.Millisecond
	recovered := kqlocal.Announcement{Service: "store", Version: "v1", Address: "127.0.0.1:1", Slots: 4, Instance: "one", StartedMS: 10}
	announced := recovered
	announced.Sequence = 9
	restarted := recovered
	restarted.StartedMS, restarted.Sequence = 20, 1
	successor := recovered
	successor.Instance, successor.StartedMS, successor.Sequence = "two", 5, 1
	for name, c := range map[string]struct {
		announcement kqlocal.Announcement
		after, pause time.Duration
		want         int
	}{
		"silent":                      {want: 0},
		"announces itself":            {announcement: announced, after: time.Second, want: 1},
		"started anew":                {announcement: restarted, after: time.Second, want: 1},
		"successor at its address":    {announcement: successor, after: time.Second, want: 1},
		"announces itself late":       {announcement: announced, after: 3 * time.Second, want: 1},
		"announces itself in a pause": {announcement: announced, after: 5 * time.Second, pause: 4 * time.Second, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			var published []kqmember.Upstream
			u := kqlocal.New(ttl, func(list []kqmember.Upstream) { published = list }, kqlocal.WithRecoveredTTL(recoveredTTL))
			start := time.Unix(1000, 0)
			if err := u.Recover(recovered, start); err != nil {
				t.Fatal(err)
			}
			if len(published) != 1 {
				t.Fatal("the recovered upstream is not used")
			}
			removedInPause := false
			for passed := time.Duration(0); passed <= 4*time.Second+c.pause; passed += interval {
				if passed == time.Second {
					passed += c.pause
				}
				if passed == c.after && c.after > 0 {
					if err := u.Announce(c.announcement, start.Add(passed)); err != nil {
						t.Fatal(err)
					}
				}
				u.Sweep(start.Add(passed))
				removedInPause = removedInPause || c.pause > 0 && len(published) == 0
			}
			if len(published) != c.want || removedInPause {
				t.Errorf("published %+v, want %d; removed because of a pause: %v", published, c.want, removedInPause)
			}
		})
	}
}
