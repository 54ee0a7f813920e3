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
	// retention is how long a departure is kept. Upstreams exit some seconds after they
	// have announced it.
	retention = time.Minute
	// maxDepartures bounds the number of departures that are kept. It suffices if the
	// upstreams of 550 servers all leave at once and their replacements also leave within
	// the retention.
	maxDepartures = 2000
	// minPeers is how many peers must hold a departure if the store does not answer: two
	// peers are seldom lost together with the node that sent it. It is also how many
	// peers must answer a starting node that cannot read the store.
	minPeers = 2
	// maxPeers bounds the number of peers that are contacted, apart from those that may be
	// gone.
	maxPeers = 4
	// replicateTimeout bounds the wait before a departure is acknowledged to the
	// upstream, which gives up after a second.
	replicateTimeout = 600 * time.Millisecond
	// storeTimeout is how long the store alone is waited for. Only the store outlives the
	// end of all processes.
	storeTimeout = 400 * time.Millisecond
	// learnTimeout bounds how long a starting node uses no upstream while it waits for
	// the store and the peers. A node that can reach none of them gets no calls from
	// peers either and serves only its own callers, so it may continue without knowing
	// the departures.
	learnTimeout = 1500 * time.Millisecond
	// learnPause is the pause before the store and the peers are asked again.
	learnPause = 50 * time.Millisecond
	// The pause before a failed write to the store is retried doubles from
	// minStoreRetryPause to maxStoreRetryPause.
	minStoreRetryPause = 100 * time.Millisecond
	maxStoreRetryPause = time.Second
)

type (
	// Store is the part of the store that departures use.
	Store interface {
		Put(ctx context.Context, key string, value []byte, lease kqstore.Lease) (kqstore.Revision, error)
		Grant(ctx context.Context, ttl time.Duration) (kqstore.Lease, error)
	}

	// Initial returns what the store held when the process started.
	Initial interface {
		List(ctx context.Context, prefix string) (kqstore.Listing, error)
	}

	// Departure records that an upstream instance leaves. It covers every process of the
	// instance that started at StartedMS, in milliseconds since 1970, or earlier.
	Departure struct {
		Instance  kqname.Instance `cbor:"1,keyasint"`
		StartedMS int64           `cbor:"2,keyasint"`
	}

	// Departures holds the known departures and replicates them. It is safe for
	// concurrent use.
	Departures struct {
		store   Store
		initial Initial
		client  *kqrpc.Client
		table   *kqmember.Table
		group   conc.WaitGroup

		mu    sync.Mutex
		known map[Departure]*record
	}

	// record is what this node knows of a departure.
	record struct {
		learnedAt time.Time
		// stored is set once the store is known to hold the departure.
		stored bool
		// replication is nil unless this node is replicating the departure.
		replication *replication
	}

	// departureList holds the departures in a request to replicate or an answer to a
	// fetch.
	departureList struct {
		Departures []Departure `cbor:"1,keyasint"`
	}

	empty struct{}
)

// New returns an empty set of departures that registers its methods on server.
func New(store Store, initial Initial, server *kqrpc.Server, client *kqrpc.Client, table *kqmember.Table) *Departures {
	d := &Departures{store: store, initial: initial, client: client, table: table, known: make(map[Departure]*record)}
	kqrpc.Handle(server, methodReplicate, func(_ context.Context, _ kqname.Node, q departureList) (empty, error) {
		d.add(q.Departures, false, time.Now())
		return empty{}, nil
	})
	kqrpc.Handle(server, methodFetch, func(context.Context, kqname.Node, empty) (departureList, error) {
		return departureList{d.list(time.Now())}, nil
	})
	return d
}

// Replicate records a departure, sends it to the store and to peers, and returns who holds
// it. It waits for the store; if the store does not answer within storeTimeout, minPeers
// peers are enough. It returns HeldByNone after replicateTimeout or when ctx ends;
// outstanding requests continue in the background. A repeated departure joins the replication
// that is under way.
func (d *Departures) Replicate(ctx context.Context, departure Departure) Holder {
	r := d.startReplication(context.WithoutCancel(ctx), departure, time.Now())
	if r == nil {
		return HeldByStore
	}
	ctx, cancel := context.WithTimeout(ctx, replicateTimeout)
	defer cancel()
	return r.await(ctx, storeTimeout)
}

// ReplicateInBackground records a departure and sends it to the store and to peers, without
// waiting for them.
func (d *Departures) ReplicateInBackground(departure Departure) {
	d.group.Go(func() { d.Replicate(context.Background(), departure) })
}

// startReplication records a departure and returns its replication, which it starts if there
// is none, or nil if the store holds the departure. It sends the departure to the peers
// again if an earlier attempt has reached too few.
func (d *Departures) startReplication(ctx context.Context, departure Departure, now time.Time) *replication {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addLocked([]Departure{departure}, false, now)
	known := d.known[departure]
	if known.stored {
		return nil
	}
	r := known.replication
	if r == nil {
		r = newReplication()
		known.replication = r
		d.group.Go(func() { d.persist(ctx, departure, r) })
	}
	if r.beginSending() {
		d.group.Go(func() { d.sendToPeers(ctx, departure, r) })
	}
	return r
}

// sendToPeers sends a departure to peers, once each.
func (d *Departures) sendToPeers(ctx context.Context, departure Departure, r *replication) {
	defer r.endSending()
	ctx, cancel := context.WithTimeout(ctx, replicateTimeout)
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	for _, to := range d.peers() {
		group.Go(func() {
			if _, err := kqrpc.Call[departureList, empty](ctx, d.client, to, methodReplicate, departureList{[]Departure{departure}}); err == nil {
				r.addHolder(to)
			}
		})
	}
}

// persist writes a departure to the store and retries a failed write until half of the
// retention has passed. Without it, a departure that only peers hold would be lost with
// them.
func (d *Departures) persist(ctx context.Context, departure Departure, r *replication) {
	ctx, cancel := context.WithTimeout(ctx, retention/2)
	defer cancel()
	stored := false
	for pause := minStoreRetryPause; ctx.Err() == nil && !stored; pause = min(2*pause, maxStoreRetryPause) {
		if stored = d.write(ctx, departure) == nil; !stored {
			kqsleep.For(ctx, pause)
		}
	}
	if stored {
		close(r.stored)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, ok := d.known[departure]; ok && known.replication == r {
		known.stored, known.replication = known.stored || stored, nil
	}
}

// write writes a departure to the store, without retries, under a lease that lapses
// after the retention.
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

// peers returns the addresses of the first maxPeers alive peers by name. The choice
// changes only with the membership, so that a restarted node asks the peers that hold
// its departures. Peers that only the store has told of may be gone; they are added but do
// not count.
func (d *Departures) peers() []kqname.Address {
	var list []kqname.Address
	heard := 0
	self := d.table.Self().Node
	for _, m := range d.table.Members() {
		if m.Node == self || m.State != kqmember.Alive || heard == maxPeers || len(list) == 2*maxPeers {
			continue
		}
		list = append(list, m.Control)
		if m.Incarnation > 0 {
			heard++
		}
	}
	return list
}

// add records departures, which the store holds if stored is set, and drops expired ones. A
// new one replaces the oldest of maxDepartures: its upstream has probably exited, while that
// of the new one still runs.
func (d *Departures) add(list []Departure, stored bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addLocked(list, stored, now)
}

// addLocked is add with d.mu held.
func (d *Departures) addLocked(list []Departure, stored bool, now time.Time) {
	for departure, known := range d.known {
		if now.Sub(known.learnedAt) > retention {
			delete(d.known, departure)
		}
	}
	for _, departure := range list {
		known, ok := d.known[departure]
		if !ok {
			if len(d.known) >= maxDepartures {
				d.dropOldest()
			}
			known = &record{learnedAt: now}
			d.known[departure] = known
		}
		known.stored = known.stored || stored
	}
}

func (d *Departures) dropOldest() {
	var oldest Departure
	var since time.Time
	for departure, known := range d.known {
		if since.IsZero() || known.learnedAt.Before(since) {
			oldest, since = departure, known.learnedAt
		}
	}
	delete(d.known, oldest)
}

// list returns the departures that have not expired.
func (d *Departures) list(now time.Time) []Departure {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Departure
	for departure, known := range d.known {
		if now.Sub(known.learnedAt) <= retention {
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
