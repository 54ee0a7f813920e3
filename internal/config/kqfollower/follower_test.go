package kqfollower_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/config/kqfollower"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Some servers of a domain have links of 10 Mbit/s, two have 200. Versions of hundreds
// of routes come several times a second: were one of the slow ones to read them all,
// it would fall behind, and all nodes of its domain with it, so that callers are told
// of routes long gone. Once the fast ones are dead, a slow one must serve.
func TestWideLinksFollowFirst(t *testing.T) {
	var members []kqmember.Member
	for i := range 20 {
		m := kqmember.Member{Node: kqname.Node(fmt.Sprint("n", i)), Domain: "d", Link: 10, Cores: 0.16}
		if i%10 == 7 {
			m.Link, m.Cores = 200, 0.8
		}
		members = append(members, m)
	}
	for i, m := range members {
		if kqfollower.Chosen(m, members) != (i%10 == 7) {
			t.Errorf("node %d with a link of %v Mbit/s: follows %v", i, m.Link, i%10 != 7)
		}
	}
	members[7].State, members[17].State = kqmember.Dead, kqmember.Dead
	followers := 0
	for _, m := range members {
		if m.State == kqmember.Alive && kqfollower.Chosen(m, members) {
			followers++
		}
	}
	if followers != kqfollower.PerDomain {
		t.Errorf("%d nodes follow once the fast ones are dead, want %d", followers, kqfollower.PerDomain)
	}
}

// Nodes of a domain die, also those that followed the store for the others. Others
// must follow in their place at once, and never more than a few of a domain, or
// the store's load would grow with the fleet.
func TestFollowersOfADomain(t *testing.T) {
	var members []kqmember.Member
	for i := range 40 {
		members = append(members, kqmember.Member{Node: kqname.Node(fmt.Sprint("n", i)), Domain: kqname.Domain(fmt.Sprint("d", i%4))})
	}
	for killed := range 35 {
		followers := make(map[kqname.Domain]int)
		alive := make(map[kqname.Domain]int)
		for i := range members {
			if members[i].State != kqmember.Alive {
				continue
			}
			alive[members[i].Domain]++
			if kqfollower.Chosen(members[i], members) {
				followers[members[i].Domain]++
			}
		}
		for d, n := range alive {
			if want := min(n, kqfollower.PerDomain); followers[d] != want {
				t.Errorf("%d killed: domain %s has %d followers, want %d", killed, d, followers[d], want)
			}
		}
		members[killed].State = kqmember.Dead
	}
	if !kqfollower.Chosen(kqmember.Member{Node: "alone", Domain: "d"}, nil) {
		t.Error("a node that knows nobody does not follow")
	}
}

type (
	// arriving is the members of a node that finds its peers a moment after its start.
	arriving struct {
		self  kqmember.Member
		peers []kqmember.Member
		asked atomic.Int64
		done  context.CancelFunc
	}

	// counted is a watcher that counts how often it is run.
	counted struct{ runs atomic.Int64 }
)

func (a *arriving) Self() kqmember.Member { return a.self }

func (a *arriving) Members() []kqmember.Member {
	switch n := a.asked.Add(1); {
	case n <= 3:
		return []kqmember.Member{a.self}
	case n > 8:
		a.done()
	}
	return append([]kqmember.Member{a.self}, a.peers...)
}

func (c *counted) Run(ctx context.Context) {
	c.runs.Add(1)
	<-ctx.Done()
}

// A server is replaced, and its node knows nobody in its first moments. Its peers
// follow the store already: if it did so too, each replaced server would read the whole
// document again and again, over a link that its callers need.
func TestStartingNodeFindsItsPeersFirst(t *testing.T) {
	ctx, done := context.WithCancel(t.Context())
	defer done()
	members := &arriving{
		self:  kqmember.Member{Node: "new", Domain: "d", Link: 10},
		peers: []kqmember.Member{{Node: "a", Domain: "d", Link: 200}, {Node: "b", Domain: "d", Link: 200}},
		done:  done,
	}
	watcher := &counted{}
	kqfollower.New(members, watcher, func(context.Context, bool) {}).Run(ctx)
	if n := watcher.runs.Load(); n != 0 {
		t.Errorf("the starting node followed the store %d times, want none beside its peers", n)
	}
}
