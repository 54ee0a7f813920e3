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
	// minPeers is how many peers must hold a departure while the store does not: two
	// peers are seldom lost together with the node that sent it. It is also how many
	// peers must answer a starting node that cannot read the store.
	minPeers = 2
	// maxPeers bounds the number of peers that are contacted, apart from those that may be
	// gone.
	maxPeers = 4
	// replicateTimeout bounds the wait before a departure is acknowledged to the
	// upstream, which gives up after a second.
	replicateTimeout = 600 * time.Millisecond
	// learnTimeout bounds how long a starting node uses no upstream while it waits for
	// the store and the peers. A node that can reach none of them gets no calls from
	// peers either and serves only its own callers, so it may continue without knowing
	// the departures.
	learnTimeout = 1500 * time.Millisecond
	// learnPause is the pause before the store and the peers are asked again.
	learnPause = 50 * time.Millisecond
	// storeRetryPause is the pause before a failed write to the store is retried.
	storeRetryPause = time.Second
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

		mu sync.Mutex
		// known maps each departure to when this node learned of it.
		known map[Departure]time.Time
		// replicating holds a channel for each departure that is being replicated; it is
		// closed when Replicate returns.
		replicating map[Departure]chan struct{}
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
	d := &Departures{store: store, initial: initial, client: client, table: table, known: make(map[Departure]time.Time), replicating: make(map[Departure]chan struct{})}
	kqrpc.Handle(server, methodReplicate, func(_ context.Context, _ kqname.Node, q departureList) (empty, error) {
		d.add(q.Departures, time.Now())
		return empty{}, nil
	})
	kqrpc.Handle(server, methodFetch, func(context.Context, kqname.Node, empty) (departureList, error) {
		return departureList{d.list(time.Now())}, nil
	})
	return d
}

// Replicate records a departure and sends it to the store and to peers. It returns when
// the store or minPeers peers hold it, when replicateTimeout has passed or when ctx
// ends; outstanding requests continue in the background. For a departure that is already
// known it sends nothing and returns when the first call for it does.
func (d *Departures) Replicate(ctx context.Context, departure Departure) {
	if done, first := d.beginReplication(departure, time.Now()); !first {
		select {
		case <-done:
		case <-ctx.Done():
		}
		return
	}
	defer d.endReplication(departure)
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

// ReplicateInBackground records a departure and sends it to the store and to peers, without
// waiting for them.
func (d *Departures) ReplicateInBackground(departure Departure) {
	d.group.Go(func() { d.Replicate(context.Background(), departure) })
}

// beginReplication records a departure and reports whether it was unknown. If it was known,
// it returns a channel that is closed once it has been replicated.
func (d *Departures) beginReplication(departure Departure, now time.Time) (<-chan struct{}, bool) {
	added := d.add([]Departure{departure}, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	done, ok := d.replicating[departure]
	if !ok {
		done = make(chan struct{})
		if added {
			d.replicating[departure] = done
		} else {
			close(done)
		}
	}
	return done, added
}

func (d *Departures) endReplication(departure Departure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.replicating[departure])
	delete(d.replicating, departure)
}

// persist writes a departure to the store, signals stored, and retries a failed write
// until half of the retention has passed. Without it, a departure that only peers hold
// would be lost with them.
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

// Learn reads the departures that the store and the peers hold, until minPeers peers
// have answered, the store and at least one peer have, or learnTimeout has passed. It
// returns all departures that are known by then. The store and the peers are asked
// concurrently: the upstream is not used before, and some peers may be gone.
func (d *Departures) Learn(ctx context.Context) []Departure {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	l := &learning{asked: make(map[kqname.Address]bool), answers: make(chan learned)}
	var group conc.WaitGroup
	defer group.Wait()
	// The requests must end before the wait for them.
	defer cancel()
	ticker := time.NewTicker(learnPause)
	defer ticker.Stop()
	d.ask(ctx, &group, l)
	for !l.isEnough() && ctx.Err() == nil {
		select {
		case a := <-l.answers:
			l.record(a)
		case <-ticker.C:
			d.ask(ctx, &group, l)
		case <-ctx.Done():
		}
	}
	return d.list(time.Now())
}

// ask requests the departures from the store and the peers that have not answered and of
// which no request is in flight.
func (d *Departures) ask(ctx context.Context, group *conc.WaitGroup, l *learning) {
	request := func(from kqname.Address, timeout time.Duration, read func(context.Context) error) {
		if l.asked[from] {
			return
		}
		l.asked[from] = true
		group.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			a := learned{from, read(callCtx)}
			select {
			case l.answers <- a:
			case <-ctx.Done():
			}
		})
	}
	request(theStore, learnTimeout/4, d.readStore)
	for _, to := range d.peers() {
		request(to, learnTimeout/8, func(ctx context.Context) error { return d.fetch(ctx, to) })
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

// readStore adds the departures in the store, skipping malformed keys.
func (d *Departures) readStore(ctx context.Context) error {
	l, err := d.initial.List(ctx, prefix)
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

// fetch adds the departures that a peer holds.
func (d *Departures) fetch(ctx context.Context, from kqname.Address) error {
	a, err := kqrpc.Call[empty, departureList](ctx, d.client, from, methodFetch, empty{})
	if err != nil {
		return fmt.Errorf("fetch departures from %s: %w", from, err)
	}
	d.add(a.Departures, time.Now())
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

// add records departures, drops expired ones, and reports whether any was new. A new one
// replaces the oldest of maxDepartures: its upstream has probably exited, while that of the
// new one still runs.
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
		if _, ok := d.known[departure]; ok {
			continue
		}
		if len(d.known) >= maxDepartures {
			d.dropOldest()
		}
		d.known[departure] = now
		added = true
	}
	return added
}

func (d *Departures) dropOldest() {
	var oldest Departure
	var since time.Time
	for departure, at := range d.known {
		if since.IsZero() || at.Before(since) {
			oldest, since = departure, at
		}
	}
	delete(d.known, oldest)
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
