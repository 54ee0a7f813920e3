package kqdiscovery

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsleep"
	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

const (
	prefix = "kumquatgw/nodes/"
	// TTL is the time to live of an entry's lease. It only has to exceed the time that a
	// node takes to restart. The entry of a dead node does little harm: a starting node
	// contacts one address that does not answer.
	TTL           = 20 * time.Second
	renewInterval = TTL / 3
	// retryPause is the mean pause before a failed write or renewal of the entry is
	// retried. When an outage of the store ends, a node that is retrying writes its entry
	// again within twice this time.
	retryPause = 800 * time.Millisecond
	// maxUpstreamWait is how long a new node waits for its upstream's first announcement
	// before it writes its entry.
	maxUpstreamWait = 2 * time.Second
	// isolatedInterval is the mean pause between lookups of a node without peers, and
	// lookupInterval the base of that of other nodes. Nodes with peers also look up, so
	// that two parts of a fleet that were started separately find each other.
	isolatedInterval = 300 * time.Millisecond
	lookupInterval   = 15 * time.Second
	// maxStaleness is how old the entries of a lookup may be.
	maxStaleness = 5 * time.Second
	// currentLookups is how many lookups a node without peers makes for each that reads the
	// current entries.
	currentLookups = 4
	// intervalPerPeer is added to lookupInterval for each peer, so that all nodes
	// together do at most about one lookup per second, whatever the size of the fleet.
	intervalPerPeer = time.Second
)

type (
	// Store is the part of the store that node discovery uses.
	Store interface {
		Put(ctx context.Context, key string, value []byte, lease kqstore.Lease) (kqstore.Revision, error)
		Grant(ctx context.Context, ttl time.Duration) (kqstore.Lease, error)
		Renew(ctx context.Context, lease kqstore.Lease) error
		List(ctx context.Context, prefix string) (kqstore.Listing, error)
		ListStale(ctx context.Context, prefix string) (kqstore.Listing, error)
	}

	// Initial returns what the store held when the process started.
	Initial interface {
		List(ctx context.Context, prefix string) (kqstore.Listing, error)
	}

	// Members is the membership that the discovered nodes are added to.
	Members interface {
		// PeerCount returns the number of peers that have been heard of, other than through
		// the store, and are not dead.
		PeerCount() int
		// Introduce adds the nodes that are not members yet, and contacts some.
		Introduce(ctx context.Context, nodes []kqmember.Member)
	}

	// Discovery keeps this node's entry in the store and discovers other nodes.
	Discovery struct {
		store   Store
		initial Initial
		self    kqmember.Member
		members Members
		onError func(error)
		// wake ends the wait for the next renewal of the entry.
		wake chan struct{}
		// firstLookup gets the entry that an earlier process of this node has left, or a
		// zero Entry.
		firstLookup chan kqstore.Entry
		// entryMissing is set if a lookup has not found the entry.
		entryMissing atomic.Bool

		mu sync.Mutex
		// upstreams is what the entry should list; upstreamsSet is closed once it is known.
		upstreams    []Upstream
		upstreamsSet chan struct{}
		// writtenAt is when the entry was last written.
		writtenAt time.Time
	}
)

// New returns the Discovery of the node with the given record. It introduces the nodes that
// it finds in the store to members, and calls onError with the error of each failed call to
// the store except a lapsed lease. The first lookup is that of initial.
func New(store Store, initial Initial, self kqmember.Member, members Members, onError func(error)) *Discovery {
	return &Discovery{store: store, initial: initial, self: self, members: members, onError: onError, wake: make(chan struct{}, 1), firstLookup: make(chan kqstore.Entry, 1), upstreamsSet: make(chan struct{})}
}

// RenewNow triggers a renewal of the entry at once or, if the last attempt failed, after
// the pause before its retry. It is called when the store is available again, since the
// lease may have lapsed during the outage.
func (d *Discovery) RenewNow() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// SetUpstreams sets the upstreams that the entry lists. It is called with each announcement.
// A change is written with the next renewal, and at once if the entry waits for its first
// upstream. Until there has been one, an empty list is ignored: upstreams that an earlier
// process has listed may announce themselves yet.
func (d *Discovery) SetUpstreams(list []Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(list) > 0 || d.isUpstreamsSet() {
		d.setUpstreams(list)
	}
}

// SetAllUpstreams is like SetUpstreams for a list that is complete, also if it is empty.
func (d *Discovery) SetAllUpstreams(list []Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setUpstreams(list)
}

// setUpstreams must be called with d.mu held.
func (d *Discovery) setUpstreams(list []Upstream) {
	d.upstreams = list
	if !d.isUpstreamsSet() {
		close(d.upstreamsSet)
	}
}

// isUpstreamsSet reports whether SetUpstreams has been called.
func (d *Discovery) isUpstreamsSet() bool {
	select {
	case <-d.upstreamsSet:
		return true
	default:
		return false
	}
}

// Run maintains the entry and looks up peers until ctx ends.
func (d *Discovery) Run(ctx context.Context) {
	var group conc.WaitGroup
	supervisor := kqsupervisor.From(ctx)
	group.Go(func() { supervisor.RunWithRestart(ctx, "register", func() { d.maintainEntry(ctx) }) })
	group.Go(func() { supervisor.RunWithRestart(ctx, "look", func() { d.lookUpPeers(ctx) }) })
	group.Wait()
}

// maintainEntry writes the entry and renews its lease until ctx ends. If the lease has
// lapsed, or the entry is missing all the same, it writes the entry under a new one without
// a pause. After a restart it renews the lease of the earlier process's entry instead: when
// all nodes restart at once, that is one cheap call for each in place of two writes. A node
// without such an entry waits for its upstream's first announcement, so that one write
// covers both.
func (d *Discovery) maintainEntry(ctx context.Context) {
	var stored kqstore.Entry
	select {
	case stored = <-d.firstLookup:
	case <-ctx.Done():
	}
	if stored.Lease == kqstore.NoLease {
		d.awaitUpstreams(ctx)
	}
	for ctx.Err() == nil {
		if d.entryMissing.Swap(false) {
			stored.Lease = kqstore.NoLease
		}
		next, err := d.renewOrWrite(ctx, stored)
		stored = next
		if err == nil {
			d.awaitRenewal(ctx)
			continue
		}
		if errors.Is(err, kqstore.ErrLeaseLapsed) {
			continue
		}
		if ctx.Err() == nil {
			d.onError(err)
		}
		kqsleep.For(ctx, retryPause/2+rand.N(retryPause))
	}
}

// awaitUpstreams waits until the upstreams are known, for at most maxUpstreamWait.
func (d *Discovery) awaitUpstreams(ctx context.Context) {
	timer := time.NewTimer(maxUpstreamWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-d.upstreamsSet:
	case <-timer.C:
	}
}

// awaitRenewal waits until the next renewal is due or RenewNow is called.
func (d *Discovery) awaitRenewal(ctx context.Context) {
	timer := time.NewTimer(renewInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-d.wake:
	case <-timer.C:
	}
}

// renewOrWrite renews the lease of the stored entry if it lists the present upstreams, writes
// it again under its lease if it does not, or under a new one if it has none. It returns the
// entry that is stored then; a zero Lease means that it must be written.
func (d *Discovery) renewOrWrite(ctx context.Context, stored kqstore.Entry) (kqstore.Entry, error) {
	value, err := d.value(stored)
	if err != nil {
		return stored, fmt.Errorf("write entry: %w", err)
	}
	if stored.Lease != kqstore.NoLease && bytes.Equal(value, stored.Value) {
		err := d.store.Renew(ctx, stored.Lease)
		if errors.Is(err, kqstore.ErrLeaseLapsed) {
			stored.Lease = kqstore.NoLease
		}
		if err != nil {
			return stored, fmt.Errorf("renew entry: %w", err)
		}
		return stored, nil
	}
	lease := stored.Lease
	if lease == kqstore.NoLease {
		if lease, err = d.store.Grant(ctx, TTL); err != nil {
			return kqstore.Entry{}, fmt.Errorf("write entry: %w", err)
		}
	}
	if _, err := d.store.Put(ctx, prefix+string(d.self.Node), value, lease); err != nil {
		return kqstore.Entry{}, fmt.Errorf("write entry: %w", err)
	}
	d.mu.Lock()
	d.writtenAt = time.Now()
	d.mu.Unlock()
	return kqstore.Entry{Value: value, Lease: lease}, nil
}

// shouldBeListed reports whether the entry was written so long ago that every lookup shows it.
func (d *Discovery) shouldBeListed(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.writtenAt.IsZero() && now.Sub(d.writtenAt) >= maxStaleness
}

// value returns the value that the entry should have. While the upstreams are unknown, that
// is what an earlier process has stored. It stays, too, if only their starts differ: after a
// loss of power, all servers start again, and an earlier start does no harm.
func (d *Discovery) value(stored kqstore.Entry) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if stored.Lease != kqstore.NoLease && !d.isUpstreamsSet() {
		return stored.Value, nil
	}
	value, err := encodeEntry(d.self, d.upstreams)
	if err == nil && isSameButForStarts(value, stored.Value) {
		return stored.Value, nil
	}
	return value, err
}

// lookUpPeers lists the entries periodically until ctx ends and introduces the nodes found. A
// failed lookup is not retried before the next is due. Entries that are seconds old will do;
// a node that finds no peer by them reads the current ones at each currentLookups-th lookup.
func (d *Discovery) lookUpPeers(ctx context.Context) {
	list := d.initial.List
	first, isolated := true, 0
	for ; ctx.Err() == nil; d.awaitLookup(ctx) {
		l, err := list(ctx, prefix)
		own, nodes := d.decodeEntries(l)
		if first {
			first = false
			d.reportOwnEntry(own)
		} else if err == nil && own.Key == "" && d.shouldBeListed(time.Now()) {
			d.entryMissing.Store(true)
			d.RenewNow()
		}
		if err != nil && ctx.Err() == nil {
			d.onError(fmt.Errorf("look up peers: %w", err))
		}
		if len(nodes) > 0 {
			d.members.Introduce(ctx, nodes)
		}
		list = d.store.ListStale
		if d.members.PeerCount() > 0 {
			isolated = 0
		} else if isolated++; isolated%currentLookups == 0 {
			list = d.store.List
		}
	}
}

// reportOwnEntry passes the entry that an earlier process has left to maintainEntry, which
// waits for it once.
func (d *Discovery) reportOwnEntry(e kqstore.Entry) {
	select {
	case d.firstLookup <- e:
	default:
	}
}

// decodeEntries returns the entry of this node, if it is the one that this process would
// write, and the records of the other nodes. It skips entries that cannot be decoded.
func (d *Discovery) decodeEntries(l kqstore.Listing) (own kqstore.Entry, nodes []kqmember.Member) {
	for _, e := range l.Entries {
		m, err := decodeEntry(e)
		switch {
		case err != nil:
		case m.Node != d.self.Node:
			nodes = append(nodes, m)
		case m.Control == d.self.Control:
			own = e
		}
	}
	return own, nodes
}

// awaitLookup waits until the next lookup is due; the pause depends on the number
// of live peers.
func (d *Discovery) awaitLookup(ctx context.Context) {
	peers := d.members.PeerCount()
	interval := lookupInterval + time.Duration(peers)*intervalPerPeer
	if peers == 0 {
		interval = isolatedInterval
	}
	kqsleep.For(ctx, interval/2+rand.N(interval))
}
