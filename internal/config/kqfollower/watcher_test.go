package kqfollower_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqfollower"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// fleet returns size members in six failure domains.
func fleet(size int) []kqmember.Member {
	var members []kqmember.Member
	for i := range size {
		members = append(members, kqmember.Member{
			Node: kqname.Node(fmt.Sprint("n", i)), Domain: kqname.Domain(fmt.Sprint("d", i%6)), LinkMbits: float64(20 + 180*(i/6%2)), Incarnation: 1,
		})
	}
	return members
}

// watchers returns the indexes of the members that watch, and how many of them the store
// answers.
func watchers(members []kqmember.Member) (indexes []int, answered int) {
	for i, m := range members {
		if m.State == kqmember.Alive && kqfollower.IsWatcher(m, members) {
			indexes = append(indexes, i)
			if !m.StoreUnavailable {
				answered++
			}
		}
	}
	return indexes, answered
}

// Guards against calls to the store that grow with the fleet or its domains: each watch
// costs one for each version.
func TestFewFollowersWatch(t *testing.T) {
	for _, size := range []int{24, 95, 550} {
		members := fleet(size)
		domains := make(map[kqname.Domain]bool)
		list, _ := watchers(members)
		for _, i := range list {
			domains[members[i].Domain] = true
		}
		if len(list) != kqfollower.Watchers || len(domains) != kqfollower.Watchers {
			t.Errorf("%d nodes: %d watch in %d domains, want %d in as many", size, len(list), len(domains), kqfollower.Watchers)
		}
	}
}

// Guards against versions that nobody sees because the store rejects those who watch it and
// answers the others.
func TestRejectedWatchersAreReplaced(t *testing.T) {
	members := fleet(95)
	for rejected := range 6 {
		list, answered := watchers(members)
		if answered != kqfollower.Watchers {
			t.Errorf("%d followers rejected: %d others watch, want %d", rejected, answered, kqfollower.Watchers)
		}
		for _, i := range list {
			if !members[i].StoreUnavailable {
				members[i].StoreUnavailable = true
				break
			}
		}
	}
}

// Guards against an outage of the store that makes all nodes call it, and against one after
// which nobody does.
func TestAllFollowersWatchInAnOutage(t *testing.T) {
	members := fleet(95)
	for i := range members {
		members[i].StoreUnavailable = true
	}
	if list, _ := watchers(members); len(list) != 6*kqfollower.PerDomain {
		t.Errorf("%d nodes watch in an outage, want %d", len(list), 6*kqfollower.PerDomain)
	}
}

// Guards against a fleet that starts together while the store still lists servers that were
// removed: nobody would read the configuration until these are found dead.
func TestListedNodesDoNotCountAsWatchingBeforeTheyAreHeard(t *testing.T) {
	members := fleet(95)
	for i := range members {
		members[i].Incarnation = 0
	}
	if list, _ := watchers(members); len(list) != 6*kqfollower.PerDomain {
		t.Errorf("%d nodes watch at the start, want %d", len(list), 6*kqfollower.PerDomain)
	}
}

// Guards against a failure domain that is cut off, or whose followers have died, without
// anybody in it who watches the store.
func TestDomainThatIsCutOffWatches(t *testing.T) {
	members := fleet(95)
	for i := range members {
		if i%6 != 3 {
			members[i].State = kqmember.Dead
		}
	}
	if list, _ := watchers(members); len(list) != kqfollower.PerDomain {
		t.Errorf("%d nodes of the domain watch, want %d", len(list), kqfollower.PerDomain)
	}
}

// rejectedMembers is a fleet of one node that records whether it says that the store does
// not answer it.
type rejectedMembers struct{ saysUnavailable atomic.Bool }

func (m *rejectedMembers) Self() kqmember.Member {
	return kqmember.Member{Node: "n", Domain: "d", StoreUnavailable: m.saysUnavailable.Load()}
}

func (m *rejectedMembers) Members() []kqmember.Member { return []kqmember.Member{m.Self()} }

func (m *rejectedMembers) Update(change func(*kqmember.Member)) kqmember.Member {
	self := m.Self()
	change(&self)
	m.saysUnavailable.Store(self.StoreUnavailable)
	return self
}

// Guards against a follower that never tells its peers that the store rejects it, or never
// that it answers again.
func TestFollowerTellsPeersThatTheStoreRejectsIt(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	members := &rejectedMembers{}
	var unavailable atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		kqfollower.New(members, &countingSource{}, func(context.Context, bool) {}, unavailable.Load).Run(ctx)
	}()
	for _, want := range []bool{true, false} {
		unavailable.Store(want)
		for end := time.Now().Add(20 * time.Second); members.saysUnavailable.Load() != want; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("after 20 s the follower still says that the store is unavailable: %v, want %v", !want, want)
			}
		}
	}
	cancel()
	<-done
}

// Guards against a record that several nodes write, or none: the first watcher that the store
// answers does.
func TestOneWatcherIsTheFirst(t *testing.T) {
	members := fleet(24)
	for rejected := range kqfollower.Watchers {
		first := -1
		for i, m := range members {
			if !kqfollower.IsFirstWatcher(m, members) {
				continue
			}
			if first >= 0 {
				t.Errorf("%d watchers rejected: nodes %d and %d are both the first", rejected, first, i)
			}
			first = i
		}
		if first < 0 || members[first].StoreUnavailable {
			t.Fatalf("%d watchers rejected: node %d is the first, want one that the store answers", rejected, first)
		}
		members[first].StoreUnavailable = true
	}
}
