package kqdiscovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsleep"
	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	prefix = "kumquatgw/nodes/"
	// TTL is the lease time of an entry. It only has to exceed the time of a node's
	// restart. The entry of a dead node does little harm: a starting node contacts one
	// address that does not answer.
	TTL           = 20 * time.Second
	renewInterval = TTL / 3
	// retryPause is the mean pause after a failed call. Entries whose leases lapsed
	// during an outage of the store are written again within twice this time.
	retryPause = 800 * time.Millisecond
	// firstLookupJitter bounds the random delay of a node's first lookup, so that
	// the nodes of a restarted fleet do not all look up in the same millisecond.
	firstLookupJitter = 50 * time.Millisecond
	// isolatedInterval is the mean pause between lookups of a node without peers.
	// lookupInterval is that of other nodes: within it, two parts of a fleet that
	// were started separately find each other.
	isolatedInterval = 300 * time.Millisecond
	lookupInterval   = 15 * time.Second
	// intervalPerPeer is added to lookupInterval for each peer, so that all nodes
	// together do about one lookup per second, whatever the size of the fleet.
	intervalPerPeer = time.Second
	// maxContacts is the number of addresses that one lookup contacts.
	maxContacts = 6
)

type (
	// Store is the part of the store that node discovery uses.
	Store interface {
		Put(ctx context.Context, key string, value []byte, lease kqstore.Lease) (kqstore.Revision, error)
		Grant(ctx context.Context, ttl time.Duration) (kqstore.Lease, error)
		Renew(ctx context.Context, lease kqstore.Lease) error
		List(ctx context.Context, prefix string) (kqstore.Listing, error)
	}

	// Discovery keeps this node's entry in the store and discovers other nodes.
	Discovery struct {
		store   Store
		node    kqname.Node
		control kqname.Address
		// known returns the number of live peers and whether the address is one of
		// theirs. An empty address is passed for the number alone.
		known   func(kqname.Address) (peers int, known bool)
		contact func(context.Context, kqname.Address)
		onError func(error)
		// wake triggers a renewal of the entry at once.
		wake chan struct{}
	}
)

// New returns the Discovery of the node at a control address. It calls contact with
// addresses in the store that are not known, and onError with each failed call.
func New(store Store, node kqname.Node, control kqname.Address,
	known func(kqname.Address) (int, bool), contact func(context.Context, kqname.Address), onError func(error),
) *Discovery {
	return &Discovery{store: store, node: node, control: control, known: known, contact: contact, onError: onError, wake: make(chan struct{}, 1)}
}

// RenewNow triggers a renewal of the entry at once. It is called when the store is
// available again, since the lease may have lapsed during the outage.
func (r *Discovery) RenewNow() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run maintains the entry and looks up peers until ctx ends.
func (r *Discovery) Run(ctx context.Context) {
	var group conc.WaitGroup
	supervisor := kqsupervisor.From(ctx)
	group.Go(func() { supervisor.RunWithRestart(ctx, "register", func() { r.maintainEntry(ctx) }) })
	group.Go(func() { supervisor.RunWithRestart(ctx, "look", func() { r.lookUpPeers(ctx) }) })
	group.Wait()
}

// maintainEntry renews or rewrites the entry until ctx ends. A lapsed lease is
// replaced without a pause.
func (r *Discovery) maintainEntry(ctx context.Context) {
	lease := kqstore.NoLease
	for ctx.Err() == nil {
		next, err := r.renewOrWrite(ctx, lease)
		lease = next
		if err == nil {
			r.awaitRenewal(ctx)
			continue
		}
		if errors.Is(err, kqstore.ErrLeaseLapsed) {
			continue
		}
		if ctx.Err() == nil {
			r.onError(err)
		}
		kqsleep.For(ctx, retryPause/2+rand.N(retryPause))
	}
}

// awaitRenewal waits until the next renewal is due or RenewNow is called.
func (r *Discovery) awaitRenewal(ctx context.Context) {
	timer := time.NewTimer(renewInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.wake:
	case <-timer.C:
	}
}

// renewOrWrite renews the lease or, without one, writes the entry under a new
// lease. It returns the lease in force, NoLease if there is none.
func (r *Discovery) renewOrWrite(ctx context.Context, lease kqstore.Lease) (kqstore.Lease, error) {
	if lease != kqstore.NoLease {
		err := r.store.Renew(ctx, lease)
		if errors.Is(err, kqstore.ErrLeaseLapsed) {
			lease = kqstore.NoLease
		}
		if err != nil {
			return lease, fmt.Errorf("renew entry: %w", err)
		}
		return lease, nil
	}
	lease, err := r.store.Grant(ctx, TTL)
	if err != nil {
		return kqstore.NoLease, fmt.Errorf("write entry: %w", err)
	}
	if _, err := r.store.Put(ctx, prefix+string(r.node), []byte(r.control), lease); err != nil {
		return kqstore.NoLease, fmt.Errorf("write entry: %w", err)
	}
	return lease, nil
}

// lookUpPeers lists the entries periodically and contacts up to maxContacts random
// addresses that are not known.
func (r *Discovery) lookUpPeers(ctx context.Context) {
	kqsleep.For(ctx, rand.N(firstLookupJitter))
	for ; ctx.Err() == nil; r.awaitLookup(ctx) {
		l, err := r.store.List(ctx, prefix)
		if err != nil {
			if ctx.Err() == nil {
				r.onError(fmt.Errorf("look up peers: %w", err))
			}
			continue
		}
		left := maxContacts
		for _, i := range rand.Perm(len(l.Entries)) {
			to := kqname.Address(l.Entries[i].Value)
			if _, known := r.known(to); known || to == r.control || left == 0 {
				continue
			}
			left--
			r.contact(ctx, to)
		}
	}
}

// awaitLookup waits until the next lookup is due; the pause depends on the number
// of live peers.
func (r *Discovery) awaitLookup(ctx context.Context) {
	peers, _ := r.known("")
	interval := lookupInterval + time.Duration(peers)*intervalPerPeer
	if peers == 0 {
		interval = isolatedInterval
	}
	kqsleep.For(ctx, interval/2+rand.N(interval))
}
