package kqdeparture

import (
	"context"
	"encoding/base32"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsleep"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	methodReplicate = "d.t"
	methodFetch     = "d.a"

	prefix = "kumquatgw/departures/"
	// retention is how long a departure is kept; upstreams end some seconds after
	// they have announced it.
	retention = time.Minute
	// maxDepartures bounds the departures that are kept: enough for 550 servers that
	// all leave at once, and those that replace them.
	maxDepartures = 2000
	// quorum is how many peers must hold a departure while the store does not: two
	// peers are seldom lost together with the node that sent it.
	quorum = 2
	// maxPeers is how many peers are contacted.
	maxPeers = 4
	// replicateTimeout bounds the wait before the acknowledgement; an upstream gives
	// up on one that takes a second.
	replicateTimeout = 600 * time.Millisecond
	// learnTimeout bounds how long a starting node uses no upstream while neither
	// the store nor enough peers answer. A node that cannot reach any of them serves
	// only its own callers.
	learnTimeout = 1500 * time.Millisecond
	learnPause   = 50 * time.Millisecond
	// storeRetryPause is the pause before a failed write to the store is retried.
	storeRetryPause = time.Second
)

type (
	// Store is the part of the store that departures use.
	Store interface {
		Put(ctx context.Context, key string, value []byte, lease kqstore.Lease) (kqstore.Revision, error)
		Grant(ctx context.Context, ttl time.Duration) (kqstore.Lease, error)
		List(ctx context.Context, prefix string) (kqstore.Listing, error)
	}

	// Departure records that an upstream instance leaves. It covers every process of
	// the instance that started at Born or before.
	Departure struct {
		Instance  kqname.Instance `cbor:"1,keyasint"`
		StartedMS int64           `cbor:"2,keyasint"`
	}

	// Departures holds the known departures and replicates them. It is safe for
	// concurrent use.
	Departures struct {
		store  Store
		client *kqrpc.Client
		table  *kqmember.Table
		group  conc.WaitGroup

		mu sync.Mutex
		// known maps each departure to when this node learned of it.
		known map[Departure]time.Time
	}

	departureList struct {
		Departures []Departure `cbor:"1,keyasint"`
	}

	empty struct{}
)

// New returns an empty set of departures that registers its methods on server.
func New(store Store, server *kqrpc.Server, client *kqrpc.Client, table *kqmember.Table) *Departures {
	d := &Departures{store: store, client: client, table: table, known: make(map[Departure]time.Time)}
	kqrpc.Handle(server, methodReplicate, func(_ context.Context, _ kqname.Node, q departureList) (empty, error) {
		d.add(q.Departures, time.Now())
		return empty{}, nil
	})
	kqrpc.Handle(server, methodFetch, func(context.Context, kqname.Node, empty) (departureList, error) {
		return departureList{d.list(time.Now())}, nil
	})
	return d
}

// Replicate records a departure and replicates it. It returns when the store or a quorum
// of peers holds it, or after replicateTimeout; the write to the store continues in
// the background. A departure that is already known is not sent again.
func (d *Departures) Replicate(ctx context.Context, one Departure) {
	if !d.add([]Departure{one}, time.Now()) {
		return
	}
	stored := make(chan struct{}, 1)
	background := context.WithoutCancel(ctx)
	d.group.Go(func() { d.persist(background, one, stored) })
	waitCtx, cancel := context.WithTimeout(ctx, replicateTimeout)
	defer cancel()
	peers := d.peers()
	acknowledged := make(chan struct{}, len(peers))
	for _, to := range peers {
		d.group.Go(func() {
			callCtx, stop := context.WithTimeout(background, replicateTimeout)
			defer stop()
			if _, err := kqrpc.Call[departureList, empty](callCtx, d.client, to, methodReplicate, departureList{[]Departure{one}}); err == nil {
				acknowledged <- struct{}{}
			}
		})
	}
	for n := 0; n < quorum; {
		select {
		case <-acknowledged:
			n++
		case <-stored:
			return
		case <-waitCtx.Done():
			return
		}
	}
}

// persist writes a departure to the store and retries until it succeeds or half of
// the retention has passed. A departure that only peers hold would be lost with them.
func (d *Departures) persist(ctx context.Context, one Departure, stored chan<- struct{}) {
	ctx, cancel := context.WithTimeout(ctx, retention/2)
	defer cancel()
	for ctx.Err() == nil {
		if d.write(ctx, one) == nil {
			stored <- struct{}{}
			return
		}
		kqsleep.For(ctx, storeRetryPause)
	}
}

// Learn reads the departures that the store and the peers hold. It returns all known
// departures when a quorum of peers has answered, when the store and one peer have,
// or after learnTimeout.
func (d *Departures) Learn(ctx context.Context) []Departure {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	answered := make(map[kqname.Address]bool)
	storeRead := false
	for ctx.Err() == nil {
		storeRead = storeRead || d.readStore(ctx) == nil
		d.fetch(ctx, answered)
		if len(answered) >= quorum || storeRead && len(answered) > 0 {
			break
		}
		kqsleep.For(ctx, learnPause)
	}
	return d.list(time.Now())
}

// write stores a departure once, under a lease of the length of the retention.
func (d *Departures) write(ctx context.Context, one Departure) error {
	lease, err := d.store.Grant(ctx, retention)
	if err != nil {
		return fmt.Errorf("store departure: %w", err)
	}
	if _, err := d.store.Put(ctx, keyOf(one), []byte(one.Instance), lease); err != nil {
		return fmt.Errorf("store departure: %w", err)
	}
	return nil
}

// readStore adds the departures in the store, skipping malformed keys.
func (d *Departures) readStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout/4)
	defer cancel()
	l, err := d.store.List(ctx, prefix)
	if err != nil {
		return fmt.Errorf("read departures: %w", err)
	}
	var found []Departure
	for _, e := range l.Entries {
		if one, err := parse(e.Key); err == nil {
			found = append(found, one)
		}
	}
	d.add(found, time.Now())
	return nil
}

// fetch adds the departures of the peers that have not answered yet, and marks those
// that do as answered.
func (d *Departures) fetch(ctx context.Context, answered map[kqname.Address]bool) {
	for _, to := range d.peers() {
		if answered[to] {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, learnTimeout/8)
		a, err := kqrpc.Call[empty, departureList](callCtx, d.client, to, methodFetch, empty{})
		cancel()
		if err == nil {
			d.add(a.Departures, time.Now())
			answered[to] = true
		}
	}
}

// peers returns the addresses of the first maxPeers live peers by name. The choice
// is the same while the members are, so that a restarted node asks the peers that
// hold its departures.
func (d *Departures) peers() []kqname.Address {
	var list []kqname.Address
	self := d.table.Self().Node
	for _, m := range d.table.Members() {
		if m.Node != self && m.State == kqmember.Alive && len(list) < maxPeers {
			list = append(list, m.Control)
		}
	}
	return list
}

// add records departures, drops expired ones, and reports whether any was new.
func (d *Departures) add(list []Departure, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for one, at := range d.known {
		if now.Sub(at) > retention {
			delete(d.known, one)
		}
	}
	added := false
	for _, one := range list {
		if _, ok := d.known[one]; !ok && len(d.known) < maxDepartures {
			d.known[one] = now
			added = true
		}
	}
	return added
}

// list returns the departures that have not expired.
func (d *Departures) list(now time.Time) []Departure {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Departure
	for one, at := range d.known {
		if now.Sub(at) <= retention {
			list = append(list, one)
		}
	}
	return list
}

// keyOf returns the store key of a departure. The instance is encoded in base32, since
// it may contain characters that a key must not.
func keyOf(d Departure) string {
	return prefix + base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString([]byte(d.Instance)) + "/" + strconv.FormatInt(d.StartedMS, 10)
}

// parse returns the departure that a store key stands for.
func parse(key string) (Departure, error) {
	name, born, _ := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	instance, err := base32.StdEncoding.WithPadding(base32.NoPadding).DecodeString(name)
	n, parseErr := strconv.ParseInt(born, 10, 64)
	if err = errors.Join(err, parseErr); err != nil {
		return Departure{}, fmt.Errorf("parse departure key %q: %w", key, err)
	}
	return Departure{Instance: kqname.Instance(instance), StartedMS: n}, nil
}
