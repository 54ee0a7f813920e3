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

// A service of twenty upstreams has twice the calls that it can run. An entry sends it
// twenty calls a second and hears of each upstream once a second or so, which it took for
// room: each call was offered to six gates and refused by all. Callers' orders of 4 KB
// went over the servers' links six times over, until calls that had a slot were late.
func TestFullServiceIsNotAskedGateByGate(t *testing.T) {
	const (
		upstreams, calls, warm = 20, 400, 40
		most                   = 6
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
	full := kqcall.Load{Running: 6, Waiting: 3, Slots: 6, Work: 200 * time.Millisecond}
	offers := 0
	for i := range calls {
		now = now.Add(50 * time.Millisecond)
		var tried []kqname.Node
		for again := true; again && len(tried) < most; again = pool.Spare(kqpick.Target{}, tried, now) {
			o := pool.Pick(kqpick.Target{}, tried, now, random)
			if o == nil {
				break
			}
			now = now.Add(time.Millisecond)
			pool.Done(o, kqcall.Refuse(kqcall.QueueFull), false, &full, now)
			tried = append(tried, o.Node)
		}
		if i >= warm {
			offers += len(tried)
		}
	}
	if got := float64(offers) / (calls - warm); got > 1.5 {
		t.Errorf("each call was offered to %.1f gates of a service that is full, want 1.5 at most", got)
	}

	// One that has said that it has a slot free is asked all the same.
	free := kqcall.Load{Running: 4, Slots: 6, Work: 200 * time.Millisecond}
	o := pool.Pick(kqpick.Target{}, nil, now, random)
	pool.Done(o, kqcall.OK(), false, &free, now)
	if !pool.Spare(kqpick.Target{}, nil, now.Add(300*time.Millisecond)) {
		t.Error("an upstream that told of free slots counts as full")
	}
}
