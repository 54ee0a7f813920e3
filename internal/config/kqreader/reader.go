package kqreader

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqkeeper"
	"github.com/kumquatgw/kumquatgw/internal/base/kqpause"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqlease"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	slotPrefix = "kumquatgw/reader/"
	stepEvery  = 200 * time.Millisecond
	// strangers is how many looks a node that knows nobody may make before it
	// takes the slot of a holder that does not answer.
	strangers    = 2
	lonelyPause  = 2 * time.Second
	closeTimeout = time.Second
)

type (
	// Store is the part of the platform's service that readers use.
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

	// Reader takes, keeps and gives up a slot.
	Reader struct {
		store   Store
		table   *kqmember.Table
		watcher Watcher
		// contact is given the control address of each reader that is found.
		contact func(ctx context.Context, to kqname.Address)
		// reads is told when this node starts and stops reading.
		reads  func(ctx context.Context, on bool)
		failed func(error)
		spread time.Duration
		// halt ends Run and its requests to the platform, which hold mu.
		halt   func()
		halted chan struct{}

		mu     sync.Mutex
		closed bool
		// serves tells that peers are told to come here for objects.
		serves   bool
		holder   kqlease.Holder
		lease    kqstore.Lease
		key      string
		revision kqstore.Revision
		stop     context.CancelFunc
		lonely   map[string]int
		group    conc.WaitGroup
	}
)

// New returns a reader. Its first look is at random within spread, so that a
// herd of starting nodes does not ask the platform all at once.
func New(store Store, table *kqmember.Table, watcher Watcher, spread time.Duration,
	contact func(context.Context, kqname.Address), reads func(context.Context, bool), failed func(error),
) *Reader {
	halted := make(chan struct{})
	return &Reader{
		halt: sync.OnceFunc(func() { close(halted) }), halted: halted,
		store: store, table: table, watcher: watcher, spread: spread, contact: contact, reads: reads, failed: failed,
		lonely: make(map[string]int), stop: func() {},
	}
}

// SlotKey returns the platform's key of a reader slot; its value is the control
// address of the reader.
func SlotKey(d kqname.Domain, slot int) string { return fmt.Sprintf("%s%s/%d", slotPrefix, d, slot) }

// Run takes part until ctx ends or the reader is closed.
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
	kqpause.For(ctx, rand.N(r.spread+1))
	for ctx.Err() == nil {
		kqkeeper.From(ctx).Try("reader", func() { r.step(ctx) })
		kqpause.For(ctx, stepEvery/2+rand.N(stepEvery))
	}
	r.stop()
}

// Close frees the slot, so that the next reader need not wait for its lease to
// lapse, and takes none again. A request that is under way is ended: the platform may
// take longer for it than the node has.
func (r *Reader) Close(ctx context.Context) {
	r.halt()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if !r.holder.Holds() {
		return
	}
	r.stop()
	r.holder.Lost()
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	// A slot that cannot be freed lapses.
	_ = r.store.Delete(ctx, r.key, r.revision)
}

func (r *Reader) step(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	situation, known := r.situation()
	if r.serves && !r.holder.Holds() && situation.Readers >= kqlease.Slots {
		r.serves = false
		r.reads(ctx, false)
	}
	switch r.holder.Next(situation, time.Now()) {
	case kqlease.Look:
		if !known {
			// Everybody who knows nobody ranks first; chance ranks them instead.
			kqpause.For(ctx, rand.N(lonelyPause))
		}
		r.look(ctx)
	case kqlease.Renew:
		if situation.Readers >= kqlease.Slots && r.replaced(ctx) {
			r.giveUp()
			return
		}
		r.renew(ctx)
	case kqlease.GiveUp:
		r.giveUp()
	}
}

// situation tells how many readers the own domain has, this node's rank among
// those that may become one, and whether any other member is known.
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
			// The longest running members come first: they have the connections.
			s.Rank++
		}
	}
	return s, known
}

// look reads the slots and takes the first that is free.
func (r *Reader) look(ctx context.Context) {
	self := r.table.Self()
	first := rand.IntN(kqlease.Slots)
	for i := range kqlease.Slots {
		key := SlotKey(self.Domain, (first+i)%kqlease.Slots)
		e, err := r.store.Get(ctx, key)
		switch {
		case errors.Is(err, kqstore.ErrNotFound):
			if r.take(ctx, key, kqstore.Absent) {
				return
			}
		case err != nil:
			r.failed(err)
			return
		case r.answers(kqname.Address(e.Value)):
			delete(r.lonely, key)
		default:
			r.contact(ctx, kqname.Address(e.Value))
			r.lonely[key+string(e.Value)]++
			if r.lonely[key+string(e.Value)] > strangers && r.take(ctx, key, e.Revision) {
				return
			}
		}
	}
}

// answers reports whether the holder of a slot is a member that is alive.
func (r *Reader) answers(holder kqname.Address) bool {
	for _, m := range r.table.Members() {
		if m.Control == holder && m.State != kqmember.Dead {
			return true
		}
	}
	return false
}

// take takes a slot. A slot whose holder does not answer is taken before its
// lease has lapsed: two readers at once do no harm, but a herd that lost all its
// readers together would wait for the leases.
func (r *Reader) take(ctx context.Context, key string, expected kqstore.Revision) bool {
	sent := time.Now()
	lease, err := r.store.Grant(ctx, kqlease.TTL)
	if err != nil {
		r.failed(err)
		return false
	}
	revision, err := r.store.Swap(ctx, key, expected, []byte(r.table.Self().Control), lease)
	if err != nil {
		if !errors.Is(err, kqstore.ErrConflict) {
			r.failed(err)
		}
		return false
	}
	r.holder.Renewed(sent)
	r.lease, r.key, r.revision = lease, key, revision
	clear(r.lonely)
	reading, stop := context.WithCancel(ctx)
	r.stop = stop
	r.serves = true
	kept := kqkeeper.From(ctx)
	r.group.Go(func() { kept.Keep(ctx, "hold", func() { r.reads(ctx, true) }) })
	r.group.Go(func() { kept.Keep(reading, "watch", func() { r.watcher.Run(reading) }) })
	return true
}

func (r *Reader) renew(ctx context.Context) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, kqlease.TTL/3)
	defer cancel()
	switch err := r.store.Renew(ctx, r.lease); {
	case err == nil:
		r.holder.Renewed(sent)
	case errors.Is(err, kqstore.ErrLeaseLapsed):
		r.giveUp()
	default:
		r.failed(err)
	}
}

// replaced reports whether somebody else holds the slot. In a storm a reader that
// did not answer loses its slot while its lease can still be renewed; were it not
// to look, it would read on for good, and the platform's load would grow with
// every storm. It looks only while its domain has a reader too many.
func (r *Reader) replaced(ctx context.Context) bool {
	e, err := r.store.Get(ctx, r.key)
	if errors.Is(err, kqstore.ErrNotFound) {
		return true
	}
	if err != nil {
		r.failed(err)
		return false
	}
	return e.Revision != r.revision
}

// giveUp stops the calls to the platform. The node goes on holding the whole
// document for its peers until others do: while the platform is down no reader
// can keep its lease, and nobody could get a host that is not held elsewhere.
func (r *Reader) giveUp() {
	r.stop()
	r.holder.Lost()
}
