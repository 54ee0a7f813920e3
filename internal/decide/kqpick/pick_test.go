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

const upstreams = 4

// Three of a service's four servers die, and the fourth misses one connection
// on a busy machine, so that all four are ejected. The dead ones run nothing and
// look idle; were they tried first for that, callers would be refused for as long
// as the ejection lasts although one server is well.
func TestLiveUpstreamIsFoundAmongTheDead(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	p := kqpick.New("here")
	var all []kqmember.Candidate
	for i := range upstreams {
		all = append(all, kqmember.Candidate{Upstream: kqmember.Upstream{Slots: 4}, Node: kqname.Node(fmt.Sprint(i)), Domain: "here"})
	}
	p.Set(all, now)
	missed := false
	refused := 0
	for call := range 100 {
		now = now.Add(10 * time.Millisecond)
		o := p.Pick(kqpick.Target{}, nil, now, random)
		if o == nil {
			t.Fatalf("call %d: nobody to send to, want a last resort", call)
		}
		alive := o.Node == "3" && missed
		missed = missed || o.Node == "3"
		if alive {
			p.Done(o, kqcall.OK(), false, &kqcall.Load{Slots: 4, Running: 3, Work: time.Millisecond}, now)
			continue
		}
		p.Done(o, kqcall.Refuse(kqcall.ConnectFailed), false, nil, now)
		refused++
	}
	if refused > 2*upstreams {
		t.Errorf("%d of 100 calls met an upstream that could not be reached, want %d at the most", refused, 2*upstreams)
	}
}
