package kqfollower

import (
	"cmp"
	"context"
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
	// restarting, or be rejected by the store without its peers noticing; more would
	// cost the store one more call each per change.
	PerDomain = 2

	checkInterval     = 250 * time.Millisecond
	peerCheckInterval = 20 * time.Millisecond
	// stopDelay is how long a follower continues after it is no longer chosen, so that
	// a changing membership does not start and stop watches.
	stopDelay = 2 * time.Second
	// maxPeerWait bounds how long a starting node waits until it knows another member. It
	// learns of its peers, some of which follow already, within about half that time. If
	// it followed at once, each replaced server would read the whole document for each new
	// version until stopDelay has passed, some 20 times in its first seconds, and peers
	// would request it from slow servers.
	maxPeerWait = 400 * time.Millisecond
)

type (
	// Members returns the known members, this node included.
	Members interface {
		Self() kqmember.Member
		Members() []kqmember.Member
	}

	// Watcher follows the store until its context ends.
	Watcher interface {
		Run(ctx context.Context)
	}

	// Follower runs the watcher while this node is chosen in its failure domain, and for
	// stopDelay after that.
	Follower struct {
		members Members
		watcher Watcher
		// onFollow is called with true when this node starts to follow, and with false
		// when it stops because it is no longer chosen. The call for a start may block
		// until its context ends.
		onFollow func(ctx context.Context, on bool)
		// activeRun is the run in progress, or nil, and lastChosen is when this node was
		// last chosen. Only Run uses them.
		activeRun  *run
		lastChosen time.Time
	}

	// run is one period of following.
	run struct{ stop context.CancelFunc }
)

// New returns a Follower.
func New(members Members, watcher Watcher, onFollow func(ctx context.Context, on bool)) *Follower {
	return &Follower{members: members, watcher: watcher, onFollow: onFollow}
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

// Run follows the store whenever this node is chosen, until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.waitForPeers(ctx)
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

// update starts following if this node is chosen, and stops it once the node has not been
// chosen for stopDelay.
func (f *Follower) update(ctx context.Context, group *conc.WaitGroup, now time.Time) {
	if IsChosen(f.members.Self(), f.members.Members()) {
		f.lastChosen = now
	}
	switch shouldFollow := now.Sub(f.lastChosen) < stopDelay; {
	case shouldFollow && f.activeRun == nil:
		f.activeRun = f.start(ctx, group)
	case !shouldFollow && f.activeRun != nil:
		f.activeRun.stop()
		f.activeRun = nil
		f.onFollow(ctx, false)
	}
}

// waitForPeers waits until another member is known, for at most maxPeerWait.
func (f *Follower) waitForPeers(ctx context.Context) {
	for waited := time.Duration(0); waited < maxPeerWait && ctx.Err() == nil; waited += peerCheckInterval {
		if peers := len(f.members.Members()) - 1; peers > 0 {
			return
		}
		kqsleep.For(ctx, peerCheckInterval)
	}
}

// start starts a run of the watcher.
func (f *Follower) start(ctx context.Context, group *conc.WaitGroup) *run {
	supervisor := kqsupervisor.From(ctx)
	runCtx, stop := context.WithCancel(ctx)
	group.Go(func() { supervisor.RunWithRestart(runCtx, "hold", func() { f.onFollow(runCtx, true) }) })
	group.Go(func() { supervisor.RunWithRestart(runCtx, "watch", func() { f.watcher.Run(runCtx) }) })
	return &run{stop: stop}
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
