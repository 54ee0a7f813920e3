package kqpick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// A service of 20 upstreams has twice its capacity in offered load. An entry sends it 20
// calls a second and gets a report of each upstream about once a second. If it takes
// outdated reports for free slots, each call is offered to six gates and refused by all,
// and bodies of 4 KB cross the servers' links six times, until calls that have a slot are
// late.
func TestSaturatedServiceIsNotTriedGateByGate(t *testing.T) {
	const (
		upstreams, calls, warmUp = 20, 400, 40
		maxAttempts              = 6
	)
	pool, random, now := kqpick.New("d"), rand.New(rand.NewPCG(1, 1)), time.Unix(1000, 0)
	var list []kqmember.Candidate
	for i := range upstreams {
		name := fmt.Sprint("n", i)
		list = append(list, kqmember.Candidate{
			Node: kqname.Node(name), Domain: "d", Gate: kqname.Address(name), Upstream: kqmember.Upstream{Service: "s", Slots: 6},
		})
	}
	pool.Set(list, now)
	full := kqcall.Load{Running: 6, Waiting: 3, Slots: 6, RecentDuration: 200 * time.Millisecond}
	offers := 0
	for i := range calls {
		now = now.Add(50 * time.Millisecond)
		var tried []kqname.Node
		for retry := true; retry && len(tried) < maxAttempts; retry = pool.HasFreeSlot(kqpick.Criteria{}, tried, now) {
			o := pool.Pick(kqpick.Criteria{}, tried, now, random)
			if o == nil {
				break
			}
			now = now.Add(time.Millisecond)
			pool.Done(o, kqcall.Refuse(kqcall.QueueFull), false, &full, now)
			tried = append(tried, o.Node)
		}
		if i >= warmUp {
			offers += len(tried)
		}
	}
	if got := float64(offers) / (calls - warmUp); got > 1.5 {
		t.Errorf("each call was offered to %.1f gates of a saturated service, want at most 1.5", got)
	}

	// An upstream that has reported a free slot is still tried.
	free := kqcall.Load{Running: 4, Slots: 6, RecentDuration: 200 * time.Millisecond}
	o := pool.Pick(kqpick.Criteria{}, nil, now, random)
	pool.Done(o, kqcall.OK(), false, &free, now)
	if !pool.HasFreeSlot(kqpick.Criteria{}, nil, now.Add(300*time.Millisecond)) {
		t.Error("an upstream that reported free slots counts as full")
	}
}
