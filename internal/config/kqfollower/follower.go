package kqfollower

import (
	"cmp"
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqkeeper"
	"github.com/kumquatgw/kumquatgw/internal/base/kqpause"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// PerDomain is how many nodes of a failure domain follow: one may be restarted,
	// or turned away by the store unseen by its peers, and each change costs the
	// store a call for each follower.
	PerDomain = 2

	checkEvery  = 250 * time.Millisecond
	settleCheck = 20 * time.Millisecond
	// lingers is how long a node goes on after others have come before it. It
	// keeps nodes that come and go from starting and ending watches.
	lingers = 2 * time.Second
	// settles is how long a starting node that knows nobody waits for its peers, who
	// follow already: it finds them within about half that. Following at once, each
	// replaced server would read the whole document some 20 times in its first
	// seconds, and slow ones would be asked for it by their peers.
	settles = 400 * time.Millisecond
)

type (
	// Members gives the members that are known, this node included.
	Members interface {
		Self() kqmember.Member
		Members() []kqmember.Member
	}

	// Watcher follows the store until its context ends.
	Watcher interface {
		Run(ctx context.Context)
	}

	// Follower runs the watcher while this node is among the first of its domain.
	Follower struct {
		members Members
		watcher Watcher
		// follows is told when this node starts and stops.
		follows func(ctx context.Context, on bool)
		// following is the spell that runs, nil while none does, and chosen when this
		// node was last among the first. Only Run uses them.
		following *run
		chosen    time.Time
	}

	// run is one spell of following.
	run struct{ stop context.CancelFunc }
)

// New returns a follower.
func New(members Members, watcher Watcher, follows func(ctx context.Context, on bool)) *Follower {
	return &Follower{members: members, watcher: watcher, follows: follows}
}

// Chosen reports whether the node is one of the first of its domain among the
// members that are alive. A node that knows nobody is.
func Chosen(self kqmember.Member, members []kqmember.Member) bool {
	before := 0
	for _, m := range members {
		if m.Node != self.Node && m.Domain == self.Domain && m.State == kqmember.Alive && compare(m, self) < 0 {
			before++
		}
	}
	return before < PerDomain
}

// Run takes part until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.settle(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for now := time.Now(); ; {
		kqkeeper.From(ctx).Try("follow", func() { f.step(ctx, &group, now) })
		select {
		case <-ctx.Done():
			return
		case now = <-ticker.C:
		}
	}
}

// step starts a spell, or ends it.
func (f *Follower) step(ctx context.Context, group *conc.WaitGroup, now time.Time) {
	if Chosen(f.members.Self(), f.members.Members()) {
		f.chosen = now
	}
	switch wanted := now.Sub(f.chosen) < lingers; {
	case wanted && f.following == nil:
		f.following = f.start(ctx, group)
	case !wanted && f.following != nil:
		f.following.stop()
		f.following = nil
		f.follows(ctx, false)
	}
}

// settle waits until a peer is known, at most for settles.
func (f *Follower) settle(ctx context.Context) {
	for waited := time.Duration(0); waited < settles && ctx.Err() == nil; waited += settleCheck {
		if peers := len(f.members.Members()) - 1; peers > 0 {
			return
		}
		kqpause.For(ctx, settleCheck)
	}
}

func (f *Follower) start(ctx context.Context, group *conc.WaitGroup) *run {
	kept := kqkeeper.From(ctx)
	following, stop := context.WithCancel(ctx)
	group.Go(func() { kept.Keep(following, "hold", func() { f.follows(following, true) }) })
	group.Go(func() { kept.Keep(following, "watch", func() { f.watcher.Run(following) }) })
	return &run{stop: stop}
}

// compare puts the wider link first, then the larger share of cores, then the lower
// hash. Each version costs a follower the whole document: some 220 KB for 800 routes,
// a fifth of a second of a link of 10 Mbit/s that carries callers' answers too. A
// follower that cannot keep up keeps its whole domain on old versions.
func compare(a, b kqmember.Member) int {
	return cmp.Or(
		cmp.Compare(b.Link, a.Link),
		cmp.Compare(b.Cores, a.Cores),
		cmp.Compare(order(a.Node), order(b.Node)),
	)
}

func order(n kqname.Node) uint64 { return xxhash.Sum64String(string(n)) }
