package kqnode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/config/kqdistribute"
	"github.com/kumquatgw/kumquatgw/internal/config/kqfetch"
	"github.com/kumquatgw/kumquatgw/internal/config/kqfollower"
	"github.com/kumquatgw/kumquatgw/internal/config/kqorigin"
	"github.com/kumquatgw/kumquatgw/internal/config/kqreader"
	"github.com/kumquatgw/kumquatgw/internal/config/kqreplica"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/internal/config/kqwatch"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqdeparture"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqexchange"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqoverlay"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqregister"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqspread"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// strategyDirect lets every node watch the platform and take the whole document.
const strategyDirect = "direct"

// prefetchPoll is how often a starting node looks whether it has a version.
const prefetchPoll = 20 * time.Millisecond

// fillPause is the longest pause before a reader asks again for what it lacks.
const fillPause = 2 * time.Second

// distribution is how versions reach this node and go on to others.
type distribution struct {
	distributor *kqdistribute.Distributor
	reader      *kqreader.Reader
	watcher     kqreader.Watcher
	follower    *kqfollower.Follower
	register    *kqregister.Register
	departures  *kqdeparture.Departures
	fetcher     *kqfetch.Fetcher
	direct      bool
}

// lists is a store that also lists.
type lists struct {
	kqstore.Store
	kqstore.Lister
}

// joinConfig joins the configuration flow: receive, verify, resolve, stage and
// swap; and the membership beside it.
func (n *Node) joinConfig() {
	log := n.logger.Part("config")
	c := n.settings.Config
	direct := c.Strategy == strategyDirect
	platformFailed := func(err error) {
		n.metrics.PlatformFailed()
		log.WithError(err).Debug("Platform did not answer.")
	}
	// The receiver needs what is made from the store's objects below.
	var receive func(context.Context, kqresource.Root)
	store, watcher := n.versions(func(ctx context.Context, r kqresource.Root) { receive(ctx, r) }, platformFailed)
	fetcher := kqfetch.New(n.peers, n.client, n.table, store, n.budget, c.PlatformRate, c.ExpectedNodes)
	if maker, ok := store.(kqfetch.Maker); ok {
		fetcher.TakeWhole(maker)
	}
	n.replica = kqreplica.New(n.source(direct, store, fetcher), n.replicaOptions(direct)...)
	fetcher.Serve(n.replica)
	overlay := kqoverlay.New(n.table)
	d := kqdistribute.New(n.peers, n.client, n.table, overlay, n.budget, n.replica, func(v kqname.ConfigVersion, err error) {
		log.WithError(err).Warnf("Refused version %d.", v)
	})
	receive = d.Take
	if direct {
		receive = func(ctx context.Context, root kqresource.Root) {
			if err := n.replica.Offer(ctx, root); err != nil {
				log.WithError(err).Warnf("Refused version %d.", root.Version)
			}
		}
	}
	n.exchange = kqexchange.New(n.peers, n.client, n.table, overlay, d, n.budget, n.contacts(), n.settings.Member.Heartbeat)
	n.spreader = kqspread.New(n.peers, n.client, n.settings.Node.Name, overlay, n.metrics.SpreadDropped)
	reader := kqreader.New(n.store, n.table, watcher, c.StartSpread, n.exchange.Contact, n.reads, platformFailed)
	n.distribution = distribution{distributor: d, reader: reader, watcher: watcher, fetcher: fetcher, direct: direct}
	if n.adapter.Lister != nil {
		n.distribution.register = n.joinRegister(platformFailed)
		n.distribution.follower = kqfollower.New(n.table, watcher, n.reads)
		n.distribution.departures = kqdeparture.New(n.entries(), n.peers, n.client, n.table)
	}
}

// versions returns where versions' objects come from last, and who follows new
// versions: the commits of our own console, or the keys that the platform's
// operators write.
func (n *Node) versions(receive func(context.Context, kqresource.Root), failed func(error)) (kqfetch.Platform, kqreader.Watcher) {
	if n.adapter.Operators == nil {
		return kqcommit.New(n.store), kqwatch.New(n.store, receive, failed)
	}
	log := n.logger.Part("config")
	refused := func(key string, err error) {
		n.metrics.ConfigRefused("invalid")
		log.WithError(err).Warnf("Refused %s.", key)
	}
	origin := kqorigin.New(n.adapter.Lister, n.adapter.Operators, receive, refused, failed)
	return origin, origin
}

// entries is the store with its lists.
func (n *Node) entries() lists { return lists{n.store, n.adapter.Lister} }

// joinRegister lets the node find its peers through the store, where the
// platform gives no seeds.
func (n *Node) joinRegister(failed func(error)) *kqregister.Register {
	self := n.table.Self()
	known := func(to kqname.Address) (peers int, known bool) {
		for _, m := range n.table.Members() {
			if m.Node != self.Node && m.State != kqmember.Dead {
				peers++
				known = known || m.Control == to
			}
		}
		return peers, known
	}
	return kqregister.New(n.entries(), self.Node, self.Control, known, n.exchange.Contact, failed)
}

func (n *Node) replicaOptions(direct bool) []kqreplica.Option {
	options := []kqreplica.Option{
		kqreplica.WithMemory(n.settings.Member.MemoryBudget, func() { n.metrics.BudgetBound("memory") }),
		kqreplica.WithRefused(n.metrics.ConfigRefused), kqreplica.WithKeeper(n.keeper),
		kqreplica.WithChanged(func(s *kqsnapshot.Snapshot) {
			n.metrics.Version(s.Version())
			n.table.SetConfig(n.settings.Node.Name, s.Version())
			n.logger.Part("config").WithFields(logrus.Fields{"event": "applied", "version": s.Version()}).Info("Version is in force.")
			n.rollouts.adopt(s)
		}),
	}
	if own := n.settings.Node.Service; own != "" {
		options = append(options, kqreplica.WithService(own))
	}
	if direct {
		options = append(options, kqreplica.WithWholeDocument())
	}
	return options
}

func (n *Node) source(direct bool, store kqfetch.Platform, fetcher *kqfetch.Fetcher) kqreplica.Source {
	if direct {
		return store
	}
	return fetcher
}

// reads lets the node hold the whole document while it reads for the others.
func (n *Node) reads(ctx context.Context, on bool) {
	n.replica.HoldAll(on)
	n.table.Update(func(m *kqmember.Member) { m.Reader = on })
	for on && ctx.Err() == nil {
		err := n.replica.Fill(ctx)
		if err == nil {
			return
		}
		n.logger.Part("config").WithError(err).Debug("Does not hold the whole document yet.")
		select {
		case <-ctx.Done():
		case <-time.After(rand.N(fillPause)):
		}
	}
}

// prefetch takes over the hosts of the service's peers once, at the start.
func (n *Node) prefetch(ctx context.Context) {
	for n.Version() == 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(prefetchPoll):
		}
	}
	for _, h := range n.distribution.fetcher.PeerHosts(ctx) {
		// A host that does not come now comes with its first call.
		_, _ = n.Want(ctx, h)
	}
}

func (n *Node) contacts() []kqname.Address {
	list := make([]kqname.Address, 0, len(n.settings.Member.Seeds))
	for _, s := range n.settings.Member.Seeds {
		list = append(list, kqname.Address(s))
	}
	return list
}

func (n *Node) runConfig(ctx context.Context, keep func(part string, f func())) {
	keep("exchange", func() { n.exchange.Run(ctx) })
	keep("spread", func() { n.spreader.Run(ctx) })
	if n.distribution.register != nil {
		keep("register", func() { n.distribution.register.Run(ctx) })
	}
	if n.distribution.direct {
		keep("watch", func() { n.distribution.watcher.Run(ctx) })
		return
	}
	keep("distribute", func() { n.distribution.distributor.Run(ctx) })
	if n.settings.Config.Prefetch {
		keep("prefetch", func() { n.prefetch(ctx) })
	}
	if n.distribution.follower != nil {
		keep("departures", func() { n.learnDepartures(ctx) })
		keep("follow", func() { n.distribution.follower.Run(ctx) })
		return
	}
	keep("reader", func() { n.distribution.reader.Run(ctx) })
}
