package kqfollower

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsleep"
	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// PerDomain is how many nodes of a failure domain follow. One alone might be
	// restarting, or be rejected by the store without its peers noticing.
	PerDomain = 2
	// Watchers is how many followers of the whole fleet watch the store. Of four in
	// different domains, one is left when a domain is cut off, the store rejects a third of
	// the nodes and another node restarts, all at once.
	Watchers = 4

	checkInterval     = 250 * time.Millisecond
	peerCheckInterval = 20 * time.Millisecond
	// stopDelay is how long a follower continues after it is no longer chosen, so that
	// a changing membership does not start and stop watches.
	stopDelay = 2 * time.Second
	// maxPeerWait bounds how long a node that joins a fleet waits until it knows another
	// member, and newFleetWait how long one of a new fleet waits for a caller. Nodes of a new
	// fleet find each other once their upstreams have announced themselves. If a node followed
	// before it knew the others, it would read the whole document, and again for each new
	// version until stopDelay has passed.
	maxPeerWait  = 400 * time.Millisecond
	newFleetWait = 2 * time.Second
)

type (
	// Members returns the known members, this node included.
	Members interface {
		Self() kqmember.Member
		Members() []kqmember.Member
		// Update changes the record of this node.
		Update(change func(*kqmember.Member)) kqmember.Member
	}

	// Source reads versions from the store until its context ends.
	Source interface {
		// Watch waits for each change.
		Watch(ctx context.Context)
		// Poll reads at intervals.
		Poll(ctx context.Context)
	}

	// Follower polls the store while this node is chosen in its failure domain, watches it
	// while this node is chosen in the fleet, and does both for stopDelay after that.
	Follower struct {
		members Members
		source  Source
		// onFollow is called with true when this node starts to follow, and with false
		// when it stops because it is no longer chosen. The call for a start may block
		// until its context ends.
		onFollow func(ctx context.Context, on bool)
		// storeUnavailable reports whether the store did not answer this node's last call.
		storeUnavailable func() bool
		// startsFleet reports whether the store lists no other node; unknown counts as no.
		startsFleet func(ctx context.Context) bool
		// hasCallers reports whether a caller needs the configuration.
		hasCallers func() bool
		// following and watching are used by Run only.
		following, watching activity
	}

	// Option configures a Follower.
	Option func(*Follower)

	// activity is something that this node does while it is chosen for it.
	activity struct {
		// stop ends the activity; it is nil while there is none.
		stop context.CancelFunc
		// lastChosen is when this node was last chosen.
		lastChosen time.Time
	}
)

// WithStartsFleet sets the function that reports whether the store lists no other node. It may
// block until the store has answered or ctx ends.
func WithStartsFleet(startsFleet func(ctx context.Context) bool) Option {
	return func(f *Follower) { f.startsFleet = startsFleet }
}

// WithCallers sets the function that reports whether a caller needs the configuration. A node
// of a new fleet does not wait any longer then: all entries may have been lost from the store
// while a fleet that serves callers restarted.
func WithCallers(hasCallers func() bool) Option {
	return func(f *Follower) { f.hasCallers = hasCallers }
}

// New returns a Follower.
func New(members Members, source Source, onFollow func(ctx context.Context, on bool), storeUnavailable func() bool, options ...Option) *Follower {
	f := &Follower{members: members, source: source, onFollow: onFollow, storeUnavailable: storeUnavailable, startsFleet: func(context.Context) bool { return false }, hasCallers: func() bool { return false }}
	for _, o := range options {
		o(f)
	}
	return f
}

// IsChosen reports whether fewer than PerDomain other alive members of the node's failure
// domain precede it by compareFollowers. A node that knows no other member is chosen.
func IsChosen(self kqmember.Member, members []kqmember.Member) bool {
	before := 0
	for _, m := range members {
		if m.Node != self.Node && m.Domain == self.Domain && m.State == kqmember.Alive && compareFollowers(m, self) < 0 {
			before++
		}
	}
	return before < PerDomain
}

// IsWatcher reports whether the member is chosen in its failure domain and fewer than Watchers
// other chosen ones precede it that have been heard of, other than through the store, and that
// the store answers.
func IsWatcher(self kqmember.Member, members []kqmember.Member) bool {
	return slices.ContainsFunc(WatchersOf(members), func(m kqmember.Member) bool { return m.Node == self.Node })
}

// WatchersOf returns the members that watch the store, as IsWatcher chooses them.
func WatchersOf(members []kqmember.Member) []kqmember.Member {
	list := followers(members)
	answered := 0
	for i, m := range list {
		if answered == Watchers {
			return list[:i]
		}
		if !m.StoreUnavailable && m.Incarnation > 0 {
			answered++
		}
	}
	return list
}

// IsFirstWatcher reports whether the member is the first one that watches the store and that
// the store answers.
func IsFirstWatcher(self kqmember.Member, members []kqmember.Member) bool {
	for _, m := range WatchersOf(members) {
		if !m.StoreUnavailable {
			return m.Node == self.Node
		}
	}
	return false
}

// followers returns the chosen members of all failure domains: first the first ones of each
// domain, then the second ones.
func followers(members []kqmember.Member) []kqmember.Member {
	chosen := make(map[kqname.Domain][]kqmember.Member)
	for _, m := range members {
		if m.State != kqmember.Alive {
			continue
		}
		list := chosen[m.Domain]
		at, _ := slices.BinarySearchFunc(list, m, compareFollowers)
		if at < PerDomain {
			list = slices.Insert(list, at, m)
			chosen[m.Domain] = list[:min(len(list), PerDomain)]
		}
	}
	var list []kqmember.Member
	for rank := range PerDomain {
		start := len(list)
		for _, ofDomain := range chosen {
			if rank < len(ofDomain) {
				list = append(list, ofDomain[rank])
			}
		}
		slices.SortFunc(list[start:], compareFollowers)
	}
	return list
}

// Run follows the store whenever this node is chosen, until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.waitForPeers(ctx)
	if ctx.Err() != nil {
		return
	}
	var group conc.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for now := time.Now(); ; {
		kqsupervisor.From(ctx).RunRecovered("follow", func() { f.update(ctx, &group, now) })
		select {
		case <-ctx.Done():
			return
		case now = <-ticker.C:
		}
	}
}

// update starts following and watching if this node is chosen for it, and stops once the
// node has not been chosen for stopDelay.
func (f *Follower) update(ctx context.Context, group *conc.WaitGroup, now time.Time) {
	self, members := f.members.Self(), f.members.Members()
	supervisor := kqsupervisor.From(ctx)
	start := func(ctx context.Context, part string, do func(context.Context)) {
		group.Go(func() { supervisor.RunWithRestart(ctx, part, func() { do(ctx) }) })
	}
	chosen := IsChosen(self, members)
	f.following.update(ctx, chosen, now, func(ctx context.Context) {
		start(ctx, "hold", func(ctx context.Context) { f.onFollow(ctx, true) })
		start(ctx, "poll", f.source.Poll)
	}, func() { f.onFollow(ctx, false) })
	f.watching.update(ctx, chosen && IsWatcher(self, members), now, func(ctx context.Context) {
		start(ctx, "watch", f.source.Watch)
	}, func() {})
	if unavailable := f.following.stop != nil && f.storeUnavailable(); unavailable != self.StoreUnavailable {
		f.members.Update(func(m *kqmember.Member) { m.StoreUnavailable = unavailable })
	}
}

// update starts the activity if this node is chosen, with a context that ends when the
// activity stops, and stops it once the node has not been chosen for stopDelay.
func (a *activity) update(ctx context.Context, chosen bool, now time.Time, start func(context.Context), stopped func()) {
	if chosen {
		a.lastChosen = now
	}
	switch active := now.Sub(a.lastChosen) < stopDelay; {
	case active && a.stop == nil:
		var activityCtx context.Context
		activityCtx, a.stop = context.WithCancel(ctx)
		start(activityCtx)
	case !active && a.stop != nil:
		a.stop()
		a.stop = nil
		stopped()
	}
}

// waitForPeers waits until another member is known, for at most maxPeerWait, or in a new fleet
// until a caller needs the configuration, for at most newFleetWait.
func (f *Follower) waitForPeers(ctx context.Context) {
	maxWait, isOver := maxPeerWait, func() bool { return len(f.members.Members()) > 1 }
	if f.startsFleet(ctx) {
		maxWait, isOver = newFleetWait, f.hasCallers
	}
	for waited := time.Duration(0); waited < maxWait && ctx.Err() == nil && !isOver(); waited += peerCheckInterval {
		kqsleep.For(ctx, peerCheckInterval)
	}
}

// compareFollowers orders nodes by their suitability to follow: the higher configured link
// bandwidth first, then the larger configured share of cores, then the lower hash of the
// name. A value that is not set ranks last. A follower reads the whole document for each
// version: some 220 KB for 800 routes, which takes a fifth of a second on a link of
// 10 Mbit/s that also carries callers' traffic. A follower that cannot keep up keeps its
// whole domain on old versions.
func compareFollowers(a, b kqmember.Member) int {
	return cmp.Or(
		cmp.Compare(b.LinkMbits, a.LinkMbits),
		cmp.Compare(b.CoreShare, a.CoreShare),
		cmp.Compare(nameHash(a.Node), nameHash(b.Node)),
	)
}

func nameHash(n kqname.Node) uint64 { return xxhash.Sum64String(string(n)) }
