package kqnode

import (
	"context"
	"fmt"
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
	"github.com/kumquatgw/kumquatgw/internal/peer/kqbroadcast"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqdeparture"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqdiscovery"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmembersync"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqoverlay"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// strategyDirect makes the node watch the platform itself and fetch the whole document.
const strategyDirect = "direct"

// prefetchPoll is how often a starting node checks whether it has a version.
const prefetchPoll = 20 * time.Millisecond

// maxRefetchPause is the longest pause before a reader retries to fetch the objects that it
// lacks.
const maxRefetchPause = 2 * time.Second

// distribution holds the parts that receive versions and pass them on to other nodes. With
// an adapter's lister, the follower decides in place of the reader whether this node reads
// versions from the platform; follower, discovery and departures are nil without one.
type distribution struct {
	distributor *kqdistribute.Distributor
	reader      *kqreader.Reader
	watcher     kqreader.Watcher
	follower    *kqfollower.Follower
	discovery   *kqdiscovery.Discovery
	departures  *kqdeparture.Departures
	fetcher     *kqfetch.Fetcher
	direct      bool
}

// versionWatcher watches and polls the platform for new versions. Run does both.
type versionWatcher interface {
	kqreader.Watcher
	kqfollower.Source
}

// listerStore is a store that can also list entries.
type listerStore struct {
	kqstore.Store
	kqstore.Lister
}

// setUpConfig assembles the configuration flow (receive, verify, resolve, stage and
// swap) and the membership.
func (n *Node) setUpConfig() {
	log := n.logger.Part("config")
	c := n.settings.Config
	direct := c.Strategy == strategyDirect
	platformFailed := func(err error) {
		n.metrics.PlatformFailed()
		log.WithError(err).Debug("Platform did not answer.")
	}
	// receive and d are assigned below, since they depend on objects made from the store.
	var receive func(context.Context, kqresource.Root)
	var d *kqdistribute.Distributor
	store, watcher := n.newVersionSource(func(ctx context.Context, r kqresource.Root) { receive(ctx, r) },
		func() kqresource.Root { return d.NewestRoot() }, platformFailed)
	fetcher := kqfetch.New(n.peers, n.client, n.table, store, n.budget, c.PlatformRate, c.ExpectedNodes)
	if builder, ok := store.(kqfetch.ObjectBuilder); ok {
		fetcher.UseBuilder(builder, func() []kqmember.Member { return kqfollower.WatchersOf(n.table.Members()) })
	}
	n.replica = kqreplica.New(n.replicaSource(direct, store, fetcher), n.replicaOptions(direct)...)
	fetcher.ServeFrom(n.replica)
	overlay := kqoverlay.New(n.table)
	d = kqdistribute.New(n.peers, n.client, n.table, overlay, n.budget, n.replica, func(v kqname.ConfigVersion, err error) {
		log.WithError(err).Warnf("Refused version %d.", v)
	}, kqdistribute.WithOnInForce(n.recordLag))
	fetcher.OnSlow(n.logSlowFetch)
	receive = d.AcceptRoot
	if direct {
		receive = func(ctx context.Context, root kqresource.Root) {
			if err := n.replica.ApplyRoot(ctx, root); err != nil {
				log.WithError(err).Warnf("Refused version %d.", root.Version)
			}
		}
	}
	n.memberSync = kqmembersync.New(n.peers, n.client, n.table, overlay, d, n.budget, n.seedAddresses(), n.settings.Member.Heartbeat)
	n.broadcaster = kqbroadcast.New(n.peers, n.client, n.settings.Node.Name, overlay, n.metrics.BroadcastDropped)
	reader := kqreader.New(n.store, n.table, watcher, c.StartSpread, n.memberSync.Probe, n.setReader, platformFailed)
	n.distribution = distribution{distributor: d, reader: reader, watcher: watcher, fetcher: fetcher, direct: direct}
	if n.adapter.Lister != nil {
		// The node's peers find each other in the store, since the platform gives no seeds.
		n.distribution.discovery = kqdiscovery.New(n.storeWithLister(), n.initialState, n.table.Self(), n.memberSync, platformFailed)
		n.distribution.follower = kqfollower.New(n.table, watcher, n.setReader, n.storeUnavailable.Load,
			kqfollower.WithStartsFleet(n.startsFleet), kqfollower.WithCallers(func() bool { return n.entry.AwaitsConfig() }))
		n.distribution.departures = kqdeparture.New(n.store, n.initialState, n.peers, n.client, n.table)
		n.broadcaster.Subscribe(topicDeparture, n.handleDeparture)
	}
}

// newVersionSource returns the source of versions' objects that no peer provides, and
// the watcher of new versions. Both read the commits of this program's console or,
// with an adapter, the keys that the platform's operators write. held returns the newest root
// that this node holds.
func (n *Node) newVersionSource(receive func(context.Context, kqresource.Root), held func() kqresource.Root, failed func(error)) (kqfetch.Platform, versionWatcher) {
	if n.adapter.OperatorDecoder == nil {
		return kqcommit.New(n.store), kqwatch.New(n.store, receive, failed)
	}
	log := n.logger.Part("config")
	refused := func(key string, err error) {
		n.metrics.ConfigRefused("invalid")
		log.WithError(err).WithFields(logrus.Fields{"event": "refused", "key": key}).Warnf("Refused the value of key %s.", key)
		n.recentEvents.Add(fmt.Sprintf("Refused the value of key %s: %v.", key, err), time.Now())
	}
	adopted := func(number, version kqname.ConfigVersion) {
		log.WithFields(logrus.Fields{"event": "adopted", "number": number, "version": version}).Infof("Adopted the recorded document %d as version %d.", number, version)
	}
	corrected := func(wrong, version kqname.ConfigVersion) {
		log.WithFields(logrus.Fields{"event": "corrected", "wrong": wrong, "version": version}).Warnf("Version %d was not what the store holds; version %d replaces it.", wrong, version)
		n.recentEvents.Add(fmt.Sprintf("Replaced version %d, which was not what the store holds, by version %d.", wrong, version), time.Now())
	}
	isFirst := func() bool { return kqfollower.IsFirstWatcher(n.table.Self(), n.table.Members()) }
	origin := kqorigin.New(n.storeWithLister(), n.adapter.OperatorDecoder, receive, refused, failed,
		kqorigin.WithInitial(n.initialState), kqorigin.WithRecorder(isFirst), kqorigin.WithCurrentPolls(isFirst),
		kqorigin.WithHeld(held, corrected), kqorigin.WithOnAdopted(adopted))
	return origin, origin
}

// storeWithLister returns the store combined with the adapter's lister.
func (n *Node) storeWithLister() listerStore { return listerStore{n.store, n.adapter.Lister} }

// startsFleet reports whether the store answered at the start and listed no other node.
func (n *Node) startsFleet(ctx context.Context) bool {
	others, err := kqdiscovery.HasOthers(ctx, n.initialState, n.settings.Node.Name)
	return err == nil && !others
}

func (n *Node) replicaOptions(direct bool) []kqreplica.Option {
	options := []kqreplica.Option{
		kqreplica.WithMemoryBudget(n.settings.Member.MemoryBudget, func() { n.metrics.BudgetExceeded("memory") }),
		kqreplica.WithOnRefused(n.metrics.ConfigRefused), kqreplica.WithSupervisor(n.supervisor),
		kqreplica.WithOnChange(func(s *kqsnapshot.Snapshot) {
			n.metrics.SetVersion(s.Version())
			n.table.SetAppliedVersion(n.settings.Node.Name, s.Version())
			// The version is the same as before if only the held hosts differ.
			n.logger.Part("config").WithFields(logrus.Fields{"event": "applied", "version": s.Version()}).Info("Version is in force.")
			n.rollouts.adoptConfig(s)
			n.adoptEvacuations(s.Evacuated(), time.Now())
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

func (n *Node) replicaSource(direct bool, store kqfetch.Platform, fetcher *kqfetch.Fetcher) kqreplica.Source {
	if direct {
		return store
	}
	return fetcher
}

// setReader sets whether the node reads versions for other nodes. A reader holds the
// whole document; setReader retries until it is complete or ctx ends.
func (n *Node) setReader(ctx context.Context, on bool) {
	n.replica.HoldAll(on)
	n.table.Update(func(m *kqmember.Member) { m.Reader = on })
	for on && ctx.Err() == nil {
		err := n.replica.FetchMissing(ctx)
		if err == nil {
			return
		}
		n.logger.Part("config").WithError(err).Debug("The whole document is not held yet.")
		select {
		case <-ctx.Done():
		case <-time.After(rand.N(maxRefetchPause)):
		}
	}
}

// prefetch fetches, once at the start, the routes of the hosts that peers of the same
// service hold.
func (n *Node) prefetch(ctx context.Context) {
	for n.Version() == 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(prefetchPoll):
		}
	}
	for _, h := range n.distribution.fetcher.PeerHosts(ctx) {
		// A host that cannot be fetched now is fetched with its first call.
		_, _ = n.EnsureHost(ctx, h)
	}
}

func (n *Node) seedAddresses() []kqname.Address {
	list := make([]kqname.Address, 0, len(n.settings.Member.Seeds))
	for _, s := range n.settings.Member.Seeds {
		list = append(list, kqname.Address(s))
	}
	return list
}

func (n *Node) runConfig(ctx context.Context, supervise func(part string, f func())) {
	supervise("exchange", func() { n.memberSync.Run(ctx) })
	supervise("spread", func() { n.broadcaster.Run(ctx) })
	if n.distribution.discovery != nil {
		supervise("register", func() { n.distribution.discovery.Run(ctx) })
	}
	if n.distribution.direct {
		supervise("watch", func() { n.distribution.watcher.Run(ctx) })
		return
	}
	supervise("distribute", func() { n.distribution.distributor.Run(ctx) })
	if n.settings.Config.Prefetch {
		supervise("prefetch", func() { n.prefetch(ctx) })
	}
	if n.distribution.follower != nil {
		supervise("departures", func() { n.learnDepartures(ctx) })
		supervise("follow", func() { n.distribution.follower.Run(ctx) })
		return
	}
	supervise("reader", func() { n.distribution.reader.Run(ctx) })
}
