package kqreader

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsleep"
	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqlease"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	slotPrefix   = "kumquatgw/reader/"
	stepInterval = 200 * time.Millisecond
	// maxUnknownReads is how often a node may find that a slot's holder is unknown or
	// dead; the next time, it takes the slot over.
	maxUnknownReads = 2
	// maxIsolatedDelay bounds the random delay before a node that knows no other member
	// tries to acquire a slot.
	maxIsolatedDelay = 2 * time.Second
	closeTimeout     = time.Second
)

type (
	// Store is the subset of the platform's key-value API that readers use.
	Store interface {
		Get(ctx context.Context, key string) (kqstore.Entry, error)
		Swap(ctx context.Context, key string, expected kqstore.Revision, value []byte, lease kqstore.Lease) (kqstore.Revision, error)
		Delete(ctx context.Context, key string, expected kqstore.Revision) error
		Grant(ctx context.Context, ttl time.Duration) (kqstore.Lease, error)
		Renew(ctx context.Context, lease kqstore.Lease) error
	}

	// Watcher follows the root while this node is a reader.
	Watcher interface {
		Run(ctx context.Context)
	}

	// Reader acquires, renews and releases a reader slot.
	Reader struct {
		store   Store
		table   *kqmember.Table
		watcher Watcher
		// probe is called with the control address of each slot holder that is
		// unknown or dead.
		probe func(ctx context.Context, to kqname.Address)
		// onReading is called with true each time this node takes a slot, to hold the
		// whole document for its peers, and with false once the domain has enough other
		// readers; not when the reader stops. The call with true may block until its
		// context ends.
		onReading     func(ctx context.Context, on bool)
		onFailure     func(error)
		maxStartDelay time.Duration
		// halt ends Run and its requests to the platform, which are made under mu.
		halt   func()
		halted chan struct{}

		mu     sync.Mutex
		closed bool
		// servesPeers is set from onReading(true) to onReading(false); it may outlast
		// the lease.
		servesPeers bool
		holder      kqlease.Holder
		lease       kqstore.Lease
		key         string
		revision    kqstore.Revision
		stopWatch   context.CancelFunc
		// unknownReads counts, by slot key followed by holder address, how often the
		// holder was found unknown or dead since this node last took a slot. Finding it
		// known in between does not reset the count.
		unknownReads map[string]int
		group        conc.WaitGroup
	}
)

// New returns a Reader. Its first step is delayed at random by up to maxStartDelay, so
// that nodes which start together do not call the platform all at once.
func New(store Store, table *kqmember.Table, watcher Watcher, maxStartDelay time.Duration,
	probe func(context.Context, kqname.Address), onReading func(context.Context, bool), onFailure func(error),
) *Reader {
	halted := make(chan struct{})
	return &Reader{
		halt: sync.OnceFunc(func() { close(halted) }), halted: halted,
		store: store, table: table, watcher: watcher, maxStartDelay: maxStartDelay, probe: probe, onReading: onReading, onFailure: onFailure,
		unknownReads: make(map[string]int), stopWatch: func() {},
	}
}

// SlotKey returns the store key of a reader slot; its value is the control address of
// the reader.
func SlotKey(d kqname.Domain, slot int) string { return fmt.Sprintf("%s%s/%d", slotPrefix, d, slot) }

// Run takes part in the election until ctx ends or the reader is closed.
func (r *Reader) Run(ctx context.Context) {
	defer r.group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.group.Go(func() {
		select {
		case <-r.halted:
			cancel()
		case <-ctx.Done():
		}
	})
	kqsleep.For(ctx, rand.N(r.maxStartDelay+1))
	for ctx.Err() == nil {
		kqsupervisor.From(ctx).RunRecovered("reader", func() { r.step(ctx) })
		kqsleep.For(ctx, stepInterval/2+rand.N(stepInterval))
	}
	r.stopWatch()
}

// Close releases the slot, so that the next reader need not wait until its lease
// expires, and prevents further acquisitions. It cancels a request in flight, since the
// platform may take longer to answer than the node may take to stop.
func (r *Reader) Close(ctx context.Context) {
	r.halt()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if !r.holder.Holds() {
		return
	}
	r.stopWatch()
	r.holder.RecordLoss()
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	// If the deletion fails, the slot is free once its lease expires.
	_ = r.store.Delete(ctx, r.key, r.revision)
}

// step performs the next action that the lease requires. A node without a slot stops
// holding the whole document once its domain has enough other readers.
func (r *Reader) step(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	situation, known := r.situation()
	if r.servesPeers && !r.holder.Holds() && situation.Readers >= kqlease.ReadersPerDomain {
		r.servesPeers = false
		r.onReading(ctx, false)
	}
	switch r.holder.Next(situation, time.Now()) {
	case kqlease.Acquire:
		if !known {
			// All nodes that know no other member have rank 0, so a random delay
			// orders them instead.
			kqsleep.For(ctx, rand.N(maxIsolatedDelay))
		}
		r.acquireSlot(ctx)
	case kqlease.Renew:
		if situation.Readers >= kqlease.ReadersPerDomain && r.hasLostSlot(ctx) {
			r.stopWatching()
			return
		}
		r.renewLease(ctx)
	case kqlease.GiveUp:
		r.stopWatching()
	}
}

// situation returns the number of other alive readers in this failure domain, this
// node's rank among the candidates, and whether any other member that is not dead is
// known.
func (r *Reader) situation() (kqlease.Situation, bool) {
	var s kqlease.Situation
	self := r.table.Self()
	members := r.table.Members()
	known := false
	for _, m := range members {
		if m.Node == self.Node || m.State == kqmember.Dead {
			continue
		}
		known = true
		switch {
		case m.Domain != self.Domain || m.State != kqmember.Alive:
		case m.Reader:
			s.Readers++
		case m.Incarnation < self.Incarnation:
			// Members that have run longer rank first, since they have open
			// connections.
			s.Rank++
		}
	}
	return s, known
}

// acquireSlot reads the slots, from a random one on, and takes the first that is free or
// whose holder was found unknown or dead more than maxUnknownReads times. It stops at
// the first slot that cannot be read.
func (r *Reader) acquireSlot(ctx context.Context) {
	self := r.table.Self()
	first := rand.IntN(kqlease.ReadersPerDomain)
	for i := range kqlease.ReadersPerDomain {
		key := SlotKey(self.Domain, (first+i)%kqlease.ReadersPerDomain)
		e, err := r.store.Get(ctx, key)
		switch {
		case errors.Is(err, kqstore.ErrNotFound):
			if r.takeSlot(ctx, key, kqstore.Absent) {
				return
			}
		case err != nil:
			r.onFailure(err)
			return
		case r.isKnownMember(kqname.Address(e.Value)):
			delete(r.unknownReads, key)
		default:
			r.probe(ctx, kqname.Address(e.Value))
			r.unknownReads[key+string(e.Value)]++
			if r.unknownReads[key+string(e.Value)] > maxUnknownReads && r.takeSlot(ctx, key, e.Revision) {
				return
			}
		}
	}
}

// isKnownMember reports whether the holder of a slot is a member that is not dead.
func (r *Reader) isKnownMember(holder kqname.Address) bool {
	for _, m := range r.table.Members() {
		if m.Control == holder && m.State != kqmember.Dead {
			return true
		}
	}
	return false
}

// takeSlot acquires a slot, starts reading and reports whether it did. The slot of an
// unknown holder is taken over before its lease expires: two readers at once do no harm,
// whereas nodes that lost all their readers together would have to wait for the leases.
func (r *Reader) takeSlot(ctx context.Context, key string, expected kqstore.Revision) bool {
	sent := time.Now()
	lease, err := r.store.Grant(ctx, kqlease.TTL)
	if err != nil {
		r.onFailure(err)
		return false
	}
	revision, err := r.store.Swap(ctx, key, expected, []byte(r.table.Self().Control), lease)
	if err != nil {
		if !errors.Is(err, kqstore.ErrConflict) {
			r.onFailure(err)
		}
		return false
	}
	r.holder.RecordRenewal(sent)
	r.lease, r.key, r.revision = lease, key, revision
	clear(r.unknownReads)
	watchCtx, stopWatch := context.WithCancel(ctx)
	r.stopWatch = stopWatch
	r.servesPeers = true
	supervisor := kqsupervisor.From(ctx)
	r.group.Go(func() { supervisor.RunWithRestart(ctx, "hold", func() { r.onReading(ctx, true) }) })
	r.group.Go(func() { supervisor.RunWithRestart(watchCtx, "watch", func() { r.watcher.Run(watchCtx) }) })
	return true
}

// renewLease renews the lease, and stops watching if it has expired.
func (r *Reader) renewLease(ctx context.Context) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, kqlease.TTL/3)
	defer cancel()
	switch err := r.store.Renew(ctx, r.lease); {
	case err == nil:
		r.holder.RecordRenewal(sent)
	case errors.Is(err, kqstore.ErrLeaseLapsed):
		r.stopWatching()
	default:
		r.onFailure(err)
	}
}

// hasLostSlot reports whether the slot is free or another node has taken it. If the slot
// cannot be read, it returns false. When many nodes start at once, a reader that they do
// not know loses its slot although its lease can still be renewed. Without this check the
// reader would read forever, and the platform's load would grow with every such event.
// The check is made only if the domain has more readers than slots.
func (r *Reader) hasLostSlot(ctx context.Context) bool {
	e, err := r.store.Get(ctx, r.key)
	if errors.Is(err, kqstore.ErrNotFound) {
		return true
	}
	if err != nil {
		r.onFailure(err)
		return false
	}
	return e.Revision != r.revision
}

// stopWatching stops the watch and records that the lease is lost; step may acquire a
// slot again later. The node continues to hold the whole document for its peers until
// enough other readers of the domain do: while the platform is down, no reader can
// keep its lease, and a host held by no other node would be unavailable.
func (r *Reader) stopWatching() {
	r.stopWatch()
	r.holder.RecordLoss()
}
