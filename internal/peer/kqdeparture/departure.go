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
	// all leave at once and whose replacements also leave within the retention.
	maxDepartures = 2000
	// minPeers is how many peers must hold a departure while the store does not: two
	// peers are seldom lost together with the node that sent it.
	minPeers = 2
	// maxPeers is how many peers are contacted.
	maxPeers = 4
	// replicateTimeout bounds the wait before the acknowledgement; an upstream gives
	// up on one that takes a second.
	replicateTimeout = 600 * time.Millisecond
	// learnTimeout bounds how long a starting node uses no upstream while neither
	// the store nor enough peers answer. A node that can reach none of them gets no
	// calls from them either and serves only its own callers, so it may continue
	// without knowing the departures.
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
	// the instance that started at StartedMS, in milliseconds of the upstream's clock,
	// or before.
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

// Replicate records a departure and replicates it. It returns when the store or
// minPeers peers hold it, or after replicateTimeout; the write to the store continues
// in the background. A departure that is already known, or for which the set has no
// room, is not sent.
func (d *Departures) Replicate(ctx context.Context, departure Departure) {
	if !d.add([]Departure{departure}, time.Now()) {
		return
	}
	stored := make(chan struct{}, 1)
	background := context.WithoutCancel(ctx)
	d.group.Go(func() { d.persist(background, departure, stored) })
	waitCtx, cancel := context.WithTimeout(ctx, replicateTimeout)
	defer cancel()
	peers := d.peers()
	acknowledged := make(chan struct{}, len(peers))
	for _, to := range peers {
		d.group.Go(func() {
			callCtx, stop := context.WithTimeout(background, replicateTimeout)
			defer stop()
			if _, err := kqrpc.Call[departureList, empty](callCtx, d.client, to, methodReplicate, departureList{[]Departure{departure}}); err == nil {
				acknowledged <- struct{}{}
			}
		})
	}
	for n := 0; n < minPeers; {
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
func (d *Departures) persist(ctx context.Context, departure Departure, stored chan<- struct{}) {
	ctx, cancel := context.WithTimeout(ctx, retention/2)
	defer cancel()
	for ctx.Err() == nil {
		if d.write(ctx, departure) == nil {
			stored <- struct{}{}
			return
		}
		kqsleep.For(ctx, storeRetryPause)
	}
}

// Learn reads the departures that the store and the peers hold. It returns all known
// departures when minPeers peers have answered, when the store and one peer have,
// or after learnTimeout.
func (d *Departures) Learn(ctx context.Context) []Departure {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	answered := make(map[kqname.Address]bool)
	storeRead := false
	for ctx.Err() == nil {
		storeRead = storeRead || d.readStore(ctx) == nil
		d.fetch(ctx, answered)
		if len(answered) >= minPeers || storeRead && len(answered) > 0 {
			break
		}
		kqsleep.For(ctx, learnPause)
	}
	return d.list(time.Now())
}

// write stores a departure once, under a lease of the length of the retention.
func (d *Departures) write(ctx context.Context, departure Departure) error {
	lease, err := d.store.Grant(ctx, retention)
	if err != nil {
		return fmt.Errorf("store departure: %w", err)
	}
	if _, err := d.store.Put(ctx, keyOf(departure), []byte(departure.Instance), lease); err != nil {
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
		if departure, err := parse(e.Key); err == nil {
			found = append(found, departure)
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

// peers returns the addresses of the first maxPeers live peers by name. As long
// as the membership does not change, the choice is the same, so that a restarted node
// asks the peers that hold its departures.
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

// add records departures, drops expired ones, and reports whether any was new and
// fit within maxDepartures.
func (d *Departures) add(list []Departure, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for departure, at := range d.known {
		if now.Sub(at) > retention {
			delete(d.known, departure)
		}
	}
	added := false
	for _, departure := range list {
		if _, ok := d.known[departure]; !ok && len(d.known) < maxDepartures {
			d.known[departure] = now
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
	for departure, at := range d.known {
		if now.Sub(at) <= retention {
			list = append(list, departure)
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
	name, started, _ := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	instance, err := base32.StdEncoding.WithPadding(base32.NoPadding).DecodeString(name)
	n, parseErr := strconv.ParseInt(started, 10, 64)
	if err = errors.Join(err, parseErr); err != nil {
		return Departure{}, fmt.Errorf("parse departure key %q: %w", key, err)
	}
	return Departure{Instance: kqname.Instance(instance), StartedMS: n}, nil
}
