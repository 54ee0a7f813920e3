package kqgate_test

import (
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Guards against calls that are refused for lack of connections after an upstream has
// announced more slots.
func TestConnectionsGrowWithTheAnnouncedSlots(t *testing.T) {
	const slots = 300
	u := newLimitingUpstream(t)
	u.work = 300 * time.Millisecond
	local := u.announce(t, "i-1", 1)
	g := kqgate.New(local, kqgate.WithExactSlots())
	g.Do(newCall("/"))
	a := kqlocal.Announcement{Service: "store", Version: "v1", Address: kqname.Address(u.server.Listener.Addr().String()), Slots: slots, Instance: "i-1", StartedMS: 1, Sequence: 1}
	if err := local.Announce(a, time.Now()); err != nil {
		t.Fatal(err)
	}
	var group conc.WaitGroup
	ended := make(chan kqcall.Reason, slots)
	for range slots {
		group.Go(func() {
			o, _ := g.Do(newCall("/"))
			ended <- o.Reason
		})
	}
	group.Wait()
	close(ended)
	refused := 0
	for reason := range ended {
		if reason != kqcall.NoReason {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d calls at once were refused by a gate whose upstream has %d slots", refused, slots, slots)
	}
}
