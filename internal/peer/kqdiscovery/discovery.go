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
	// TTL is the time to live of an entry's lease. It only has to exceed the time that a
	// node takes to restart. The entry of a dead node does little harm: a starting node
	// contacts one address that does not answer.
	TTL           = 20 * time.Second
	renewInterval = TTL / 3
	// retryPause is the mean pause before a failed write or renewal of the entry is
	// retried. When an outage of the store ends, a node that is retrying writes its entry
	// again within twice this time.
	retryPause = 800 * time.Millisecond
	// firstLookupJitter bounds the random delay of a node's first lookup, so that
	// the nodes of a restarted fleet do not all look up in the same millisecond.
	firstLookupJitter = 50 * time.Millisecond
	// isolatedInterval is the mean pause between lookups of a node without peers, and
	// lookupInterval the base of that of other nodes. Nodes with peers also look up, so
	// that two parts of a fleet that were started separately find each other.
	isolatedInterval = 300 * time.Millisecond
	lookupInterval   = 15 * time.Second
	// intervalPerPeer is added to lookupInterval for each peer, so that all nodes
	// together do at most about one lookup per second, whatever the size of the fleet.
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
		// known returns the number of peers that are not dead, and whether the address
		// is that of one of them. An empty address is passed to get only the number.
		known   func(kqname.Address) (peers int, known bool)
		contact func(context.Context, kqname.Address)
		onError func(error)
		// wake ends the wait for the next renewal of the entry.
		wake chan struct{}
	}
)

// New returns the Discovery of the node at a control address. It calls contact with
// addresses in the store that are not known, and onError with the error of each failed
// call to the store except a lapsed lease.
func New(store Store, node kqname.Node, control kqname.Address,
	known func(kqname.Address) (int, bool), contact func(context.Context, kqname.Address), onError func(error),
) *Discovery {
	return &Discovery{store: store, node: node, control: control, known: known, contact: contact, onError: onError, wake: make(chan struct{}, 1)}
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

// Run maintains the entry and looks up peers until ctx ends.
func (d *Discovery) Run(ctx context.Context) {
	var group conc.WaitGroup
	supervisor := kqsupervisor.From(ctx)
	group.Go(func() { supervisor.RunWithRestart(ctx, "register", func() { d.maintainEntry(ctx) }) })
	group.Go(func() { supervisor.RunWithRestart(ctx, "look", func() { d.lookUpPeers(ctx) }) })
	group.Wait()
}

// maintainEntry writes the entry and renews its lease until ctx ends. If the lease has
// lapsed, it writes the entry under a new one without a pause.
func (d *Discovery) maintainEntry(ctx context.Context) {
	lease := kqstore.NoLease
	for ctx.Err() == nil {
		next, err := d.renewOrWrite(ctx, lease)
		lease = next
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

// renewOrWrite renews the lease or, if it is NoLease, writes the entry under a new
// lease. It returns the lease to renew next, or NoLease if the entry must be written.
func (d *Discovery) renewOrWrite(ctx context.Context, lease kqstore.Lease) (kqstore.Lease, error) {
	if lease != kqstore.NoLease {
		err := d.store.Renew(ctx, lease)
		if errors.Is(err, kqstore.ErrLeaseLapsed) {
			lease = kqstore.NoLease
		}
		if err != nil {
			return lease, fmt.Errorf("renew entry: %w", err)
		}
		return lease, nil
	}
	lease, err := d.store.Grant(ctx, TTL)
	if err != nil {
		return kqstore.NoLease, fmt.Errorf("write entry: %w", err)
	}
	if _, err := d.store.Put(ctx, prefix+string(d.node), []byte(d.control), lease); err != nil {
		return kqstore.NoLease, fmt.Errorf("write entry: %w", err)
	}
	return lease, nil
}

// lookUpPeers lists the entries periodically until ctx ends, and contacts up to
// maxContacts random addresses that are not known. A failed lookup is not retried
// before the next is due.
func (d *Discovery) lookUpPeers(ctx context.Context) {
	kqsleep.For(ctx, rand.N(firstLookupJitter))
	for ; ctx.Err() == nil; d.awaitLookup(ctx) {
		l, err := d.store.List(ctx, prefix)
		if err != nil {
			if ctx.Err() == nil {
				d.onError(fmt.Errorf("look up peers: %w", err))
			}
			continue
		}
		left := maxContacts
		for _, i := range rand.Perm(len(l.Entries)) {
			to := kqname.Address(l.Entries[i].Value)
			if _, known := d.known(to); known || to == d.control || left == 0 {
				continue
			}
			left--
			d.contact(ctx, to)
		}
	}
}

// awaitLookup waits until the next lookup is due; the pause depends on the number
// of live peers.
func (d *Discovery) awaitLookup(ctx context.Context) {
	peers, _ := d.known("")
	interval := lookupInterval + time.Duration(peers)*intervalPerPeer
	if peers == 0 {
		interval = isolatedInterval
	}
	kqsleep.For(ctx, interval/2+rand.N(interval))
}
