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

// fleet is a pool of upstreams with free slots; works are what their calls take.
func fleet(now time.Time, domains []kqname.Domain, works ...time.Duration) *kqpick.Pool {
	p := kqpick.New("here")
	all := make([]kqmember.Candidate, 0, len(works))
	for i := range works {
		all = append(all, kqmember.Candidate{
			Upstream: kqmember.Upstream{Slots: 6, Warm: now.Add(-time.Second)}, Node: kqname.Node(fmt.Sprint(i)), Domain: domains[i],
		})
	}
	p.Set(all, now)
	var tried []kqname.Node
	for range works {
		o := p.Pick(kqpick.Target{}, tried, now, rand.New(rand.NewPCG(1, 1)))
		tried = append(tried, o.Node)
		for i, w := range works {
			if o.Node == kqname.Node(fmt.Sprint(i)) {
				p.Done(o, kqcall.OK(), false, &kqcall.Load{Slots: 6, Work: w}, now)
			}
		}
	}
	return p
}

// A service has two fast upstreams with a call or two each and a slow one with
// none. A choice by load alone would send every third call to the slow one, where
// it takes longer than callers want; while the fast ones have slots free it must
// get next to none.
func TestSlowIdleUpstreamBesideFastOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	p := fleet(now, []kqname.Domain{"x", "x", "x"}, 80*time.Millisecond, 80*time.Millisecond, 200*time.Millisecond)
	slow := 0
	var held []*kqpick.Peer
	for range 300 {
		o := p.Pick(kqpick.Target{}, nil, now, random)
		if o.Node == "2" {
			slow++
		}
		if held = append(held, o); len(held) > 4 {
			p.Done(held[0], kqcall.OK(), false, nil, now)
			held = held[1:]
		}
	}
	if slow > 10 {
		t.Errorf("%d of 300 calls went to the slow upstream, want 10 at the most", slow)
	}
}

// The upstream near by is a little slower than one in another failure domain, and
// answers well within what callers want. Sent away, large answers would cross
// between domains for nothing; where it is too slow for the route, calls must go.
func TestUpstreamNearByGoesFirstWhileItIsAmple(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 3))
	p := fleet(now, []kqname.Domain{"here", "there"}, 100*time.Millisecond, 60*time.Millisecond)
	for ample, want := range map[time.Duration]kqname.Node{160 * time.Millisecond: "0", 50 * time.Millisecond: "1"} {
		o := p.Pick(kqpick.Target{Ample: ample}, nil, now, random)
		p.Done(o, kqcall.OK(), false, nil, now)
		if o.Node != want {
			t.Errorf("with %s: went to %s, want %s", ample, o.Node, want)
		}
	}
}

// An upstream fails four calls in ten and answers the others. It never fails five
// in a row for long, and callers would meet it for as long as that lasts; a few
// tens of calls must be enough to leave it out.
func TestUpstreamThatFailsNowAndThenIsLeftOut(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 4))
	work := 80 * time.Millisecond
	p := fleet(now, []kqname.Domain{"x", "x", "x", "x"}, work, work, work, work)
	for call := range 400 {
		now = now.Add(time.Millisecond)
		o := p.Pick(kqpick.Target{}, nil, now, random)
		p.Done(o, kqcall.OK(), o.Node == "3" && random.Float64() < 0.4, &kqcall.Load{Slots: 6, Work: work}, now)
		if o.Ejected() {
			if o.Node != "3" {
				t.Fatalf("call %d: upstream %s is left out", call, o.Node)
			}
			return
		}
	}
	t.Error("the failing upstream is still used after 400 calls")
}
