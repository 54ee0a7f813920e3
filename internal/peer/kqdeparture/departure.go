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

	"github.com/kumquatgw/kumquatgw/internal/base/kqpause"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqpeer"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	methodTell = "d.t"
	methodAsk  = "d.a"

	prefix = "kumquatgw/departures/"
	// remember is how long a departure is kept; upstreams end some seconds after
	// they have said that they leave.
	remember = time.Minute
	// most bounds the departures that are kept: 550 servers that all leave at
	// once, and those that replace them.
	most = 2000
	// told is how many peers must hold a departure, where the store does not:
	// two of them are seldom lost together with the node that told them.
	told = 2
	// tellPeers is how many peers are tried.
	tellPeers = 4
	// tellFor bounds the wait before the acknowledgement; an upstream gives up on
	// one that takes a second.
	tellFor = 600 * time.Millisecond
	// askFor bounds how long a starting node uses no upstream while neither the
	// store nor enough peers answer. A node that is cut off from all of them
	// serves its own callers only.
	askFor   = 1500 * time.Millisecond
	askPause = 50 * time.Millisecond
	// storeAgain is the pause before a departure is written into the store again.
	storeAgain = time.Second
)

type (
	// Store is the part of the store that departures use.
	Store interface {
		Put(ctx context.Context, key string, value []byte, lease kqstore.Lease) (kqstore.Revision, error)
		Grant(ctx context.Context, ttl time.Duration) (kqstore.Lease, error)
		List(ctx context.Context, prefix string) (kqstore.Listing, error)
	}

	// Departure tells that every start of an upstream up to Born leaves.
	Departure struct {
		Instance kqname.Instance `cbor:"1,keyasint"`
		Born     int64           `cbor:"2,keyasint"`
	}

	// Departures holds what is known of upstreams that leave. It is safe for
	// concurrent use.
	Departures struct {
		store  Store
		client *kqpeer.Client
		table  *kqmember.Table
		group  conc.WaitGroup

		mu   sync.Mutex
		held map[Departure]time.Time
	}

	all struct {
		Departures []Departure `cbor:"1,keyasint"`
	}

	nothing struct{}
)

// New returns departures that answers on server.
func New(store Store, server *kqpeer.Server, client *kqpeer.Client, table *kqmember.Table) *Departures {
	d := &Departures{store: store, client: client, table: table, held: make(map[Departure]time.Time)}
	kqpeer.Handle(server, methodTell, func(_ context.Context, _ kqname.Node, q all) (nothing, error) {
		d.note(q.Departures, time.Now())
		return nothing{}, nil
	})
	kqpeer.Handle(server, methodAsk, func(context.Context, kqname.Node, nothing) (all, error) {
		return all{d.list(time.Now())}, nil
	})
	return d
}

// Tell notes a departure and returns once the store or enough peers hold it too,
// or after a bounded while; storing it goes on beside. One that is known already
// is not told again.
func (d *Departures) Tell(ctx context.Context, one Departure) {
	if !d.note([]Departure{one}, time.Now()) {
		return
	}
	stored := make(chan struct{}, 1)
	beside := context.WithoutCancel(ctx)
	d.group.Go(func() { d.persist(beside, one, stored) })
	waiting, cancel := context.WithTimeout(ctx, tellFor)
	defer cancel()
	peers := d.peers()
	held := make(chan struct{}, len(peers))
	for _, to := range peers {
		d.group.Go(func() {
			asking, stop := context.WithTimeout(beside, tellFor)
			defer stop()
			if _, err := kqpeer.Call[all, nothing](asking, d.client, to, methodTell, all{[]Departure{one}}); err == nil {
				held <- struct{}{}
			}
		})
	}
	for n := 0; n < told; {
		select {
		case <-held:
			n++
		case <-stored:
			return
		case <-waiting.Done():
			return
		}
	}
}

// persist writes a departure into the store, again while the store does not
// answer: told to peers alone, it would be lost with them.
func (d *Departures) persist(ctx context.Context, one Departure, stored chan<- struct{}) {
	ctx, cancel := context.WithTimeout(ctx, remember/2)
	defer cancel()
	for ctx.Err() == nil {
		if d.write(ctx, one) == nil {
			stored <- struct{}{}
			return
		}
		kqpause.For(ctx, storeAgain)
	}
}

// Learn asks the store and the peers what they know, and returns once both have
// been asked and one of them has told, or after a bounded while.
func (d *Departures) Learn(ctx context.Context) []Departure {
	ctx, cancel := context.WithTimeout(ctx, askFor)
	defer cancel()
	answered := make(map[kqname.Address]bool)
	stored := false
	for ctx.Err() == nil {
		stored = stored || d.read(ctx) == nil
		d.ask(ctx, answered)
		if len(answered) >= told || stored && len(answered) > 0 {
			break
		}
		kqpause.For(ctx, askPause)
	}
	return d.list(time.Now())
}

func (d *Departures) write(ctx context.Context, one Departure) error {
	lease, err := d.store.Grant(ctx, remember)
	if err != nil {
		return fmt.Errorf("store departure: %w", err)
	}
	if _, err := d.store.Put(ctx, keyOf(one), []byte(one.Instance), lease); err != nil {
		return fmt.Errorf("store departure: %w", err)
	}
	return nil
}

func (d *Departures) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, askFor/4)
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
	d.note(found, time.Now())
	return nil
}

// ask asks the peers that have not answered yet.
func (d *Departures) ask(ctx context.Context, answered map[kqname.Address]bool) {
	for _, to := range d.peers() {
		if answered[to] {
			continue
		}
		asking, cancel := context.WithTimeout(ctx, askFor/8)
		a, err := kqpeer.Call[nothing, all](asking, d.client, to, methodAsk, nothing{})
		cancel()
		if err == nil {
			d.note(a.Departures, time.Now())
			answered[to] = true
		}
	}
}

// peers returns the addresses of a few live peers; they are the same for as long
// as the members are, so that a restarted node asks those that were told.
func (d *Departures) peers() []kqname.Address {
	var list []kqname.Address
	self := d.table.Self().Node
	for _, m := range d.table.Members() {
		if m.Node != self && m.State == kqmember.Alive && len(list) < tellPeers {
			list = append(list, m.Control)
		}
	}
	return list
}

// note takes in departures and reports whether any was news.
func (d *Departures) note(list []Departure, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for one, at := range d.held {
		if now.Sub(at) > remember {
			delete(d.held, one)
		}
	}
	news := false
	for _, one := range list {
		if _, ok := d.held[one]; !ok && len(d.held) < most {
			d.held[one] = now
			news = true
		}
	}
	return news
}

func (d *Departures) list(now time.Time) []Departure {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Departure
	for one, at := range d.held {
		if now.Sub(at) <= remember {
			list = append(list, one)
		}
	}
	return list
}

// keyOf writes a departure as a key; instances are spelled so that any fits.
func keyOf(d Departure) string {
	return prefix + base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString([]byte(d.Instance)) + "/" + strconv.FormatInt(d.Born, 10)
}

func parse(key string) (Departure, error) {
	name, born, _ := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	instance, err := base32.StdEncoding.WithPadding(base32.NoPadding).DecodeString(name)
	n, bad := strconv.ParseInt(born, 10, 64)
	if err = errors.Join(err, bad); err != nil {
		return Departure{}, fmt.Errorf("read departure %q: %w", key, err)
	}
	return Departure{Instance: kqname.Instance(instance), Born: n}, nil
}
