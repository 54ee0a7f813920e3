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

// Three of four servers die, and the fourth misses one connection under load, so that all
// four are ejected. The dead ones run nothing and look idle. If they were tried first,
// calls would be refused for the whole ejection although one server is healthy.
func TestLastResortFindsLiveUpstream(t *testing.T) {
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
		o := p.Pick(kqpick.Criteria{}, nil, now, random)
		if o == nil {
			t.Fatalf("call %d: no upstream was picked, want a last resort", call)
		}
		alive := o.Node == "3" && missed
		missed = missed || o.Node == "3"
		if alive {
			p.Done(o, kqcall.OK(), false, &kqcall.Load{Slots: 4, Running: 3, RecentDuration: time.Millisecond}, now)
			continue
		}
		p.Done(o, kqcall.Refuse(kqcall.ConnectFailed), false, nil, now)
		refused++
	}
	if refused > 2*upstreams {
		t.Errorf("%d of 100 calls were sent to an unreachable upstream, want at most %d", refused, 2*upstreams)
	}
}

// newPool returns a pool of upstreams with free slots and the given work per call.
func newPool(now time.Time, domains []kqname.Domain, works ...time.Duration) *kqpick.Pool {
	p := kqpick.New("here")
	all := make([]kqmember.Candidate, 0, len(works))
	for i := range works {
		all = append(all, kqmember.Candidate{
			Upstream: kqmember.Upstream{Slots: 6, WarmFrom: now.Add(-time.Second)}, Node: kqname.Node(fmt.Sprint(i)), Domain: domains[i],
		})
	}
	p.Set(all, now)
	var tried []kqname.Node
	for range works {
		o := p.Pick(kqpick.Criteria{}, tried, now, rand.New(rand.NewPCG(1, 1)))
		tried = append(tried, o.Node)
		for i, w := range works {
			if o.Node == kqname.Node(fmt.Sprint(i)) {
				p.Done(o, kqcall.OK(), false, &kqcall.Load{Slots: 6, RecentDuration: w}, now)
			}
		}
	}
	return p
}

// A service has two fast upstreams with one or two calls each, and a slow one with none.
// Choosing by load alone would send every third call to the slow one, where it misses its
// latency target. The slow one must get almost none while the fast ones have free slots.
func TestSlowIdleUpstreamGetsFewCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	p := newPool(now, []kqname.Domain{"x", "x", "x"}, 80*time.Millisecond, 80*time.Millisecond, 200*time.Millisecond)
	slow := 0
	var held []*kqpick.PoolUpstream
	for range 300 {
		o := p.Pick(kqpick.Criteria{}, nil, now, random)
		if o.Node == "2" {
			slow++
		}
		if held = append(held, o); len(held) > 4 {
			p.Done(held[0], kqcall.OK(), false, nil, now)
			held = held[1:]
		}
	}
	if slow > 10 {
		t.Errorf("%d of 300 calls went to the slow upstream, want at most 10", slow)
	}
}

// The upstream in the own failure domain is slower than one in another, but well within the
// route's latency target. It must be preferred, so that large answers do not cross between
// domains, unless it is too slow for the route.
func TestLocalUpstreamIsPreferredWithinComfortableLatency(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 3))
	p := newPool(now, []kqname.Domain{"here", "there"}, 100*time.Millisecond, 60*time.Millisecond)
	for latency, want := range map[time.Duration]kqname.Node{160 * time.Millisecond: "0", 50 * time.Millisecond: "1"} {
		o := p.Pick(kqpick.Criteria{ComfortableLatency: latency}, nil, now, random)
		p.Done(o, kqcall.OK(), false, nil, now)
		if o.Node != want {
			t.Errorf("comfortable latency %s: went to %s, want %s", latency, o.Node, want)
		}
	}
}

// An upstream fails 40% of its calls. It seldom fails five calls in a row, so ejecting only
// after five consecutive failures would keep it in use. It must be ejected within 400 calls
// of the service.
func TestIntermittentlyFailingUpstreamIsEjected(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 4))
	work := 80 * time.Millisecond
	p := newPool(now, []kqname.Domain{"x", "x", "x", "x"}, work, work, work, work)
	for call := range 400 {
		now = now.Add(time.Millisecond)
		o := p.Pick(kqpick.Criteria{}, nil, now, random)
		p.Done(o, kqcall.OK(), o.Node == "3" && random.Float64() < 0.4, &kqcall.Load{Slots: 6, RecentDuration: work}, now)
		if o.Ejected() {
			if o.Node != "3" {
				t.Fatalf("call %d: upstream %s is ejected", call, o.Node)
			}
			return
		}
	}
	t.Error("the failing upstream is not ejected after 400 calls")
}
