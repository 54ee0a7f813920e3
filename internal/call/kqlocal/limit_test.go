package kqlocal_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
)

// Guards against messages to all nodes for each answer of an upstream whose limit changes all
// the time.
func TestChangingLimitIsPublishedSeldom(t *testing.T) {
	published := 0
	var last []kqmember.Upstream
	u := kqlocal.New(time.Minute, func(list []kqmember.Upstream) { published, last = published+1, list })
	now := time.Unix(1000, 0)
	if err := u.Announce(kqlocal.Announcement{Service: "store", Version: "v1", Address: "a:1", Slots: 1}, now); err != nil {
		t.Fatal(err)
	}
	for i := range 400 {
		u.SetLimit("a:1", i%2 == 0, float64(i), now.Add(time.Duration(i)*25*time.Millisecond))
	}
	if published < 3 || published > 7 {
		t.Errorf("published %d times in 10 s, want about each 2 s", published)
	}
	u.SetLimit("a:1", true, 24, now.Add(time.Minute))
	if len(last) != 1 || !last[0].Limited || last[0].Limit != 24 {
		t.Errorf("published %+v, want a limit of 24", last)
	}
	u.SetLimit("a:1", false, 0, now.Add(2*time.Minute))
	if last[0].Limited {
		t.Errorf("published %+v, want no limit", last)
	}
}
