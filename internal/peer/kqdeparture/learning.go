package kqdeparture

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsleep"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// theStore stands for the store among the addresses of peers.
const theStore kqname.Address = ""

type (
	// learning is what a starting node has asked and heard of departures.
	learning struct {
		// asked holds those that have answered or of which a request is in flight.
		asked     map[kqname.Address]bool
		answers   chan learned
		storeRead bool
		peers     int
	}

	// learned is the end of one request.
	learned struct {
		from kqname.Address
		err  error
	}
)

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

// LearnRemaining continues to ask, at growing intervals, until the store has been read, and calls
// apply with all known departures after each round. Learn may return before: after a restart
// of the whole fleet, peers answer that have not read the store either.
func (d *Departures) LearnRemaining(ctx context.Context, apply func([]Departure)) {
	for pause := minStoreRetryPause; ctx.Err() == nil; pause = min(2*pause, maxStoreRetryPause) {
		err := d.readStore(ctx)
		if err != nil {
			d.fetchFromPeers(ctx)
		}
		apply(d.list(time.Now()))
		if err == nil {
			return
		}
		kqsleep.For(ctx, pause)
	}
}

// fetchFromPeers adds the departures that peers hold. Peers that do not answer are left out.
func (d *Departures) fetchFromPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, replicateTimeout)
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	for _, from := range d.peers() {
		group.Go(func() { _ = d.fetch(ctx, from) })
	}
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
	d.add(found, true, time.Now())
	return nil
}

// fetch adds the departures that a peer holds.
func (d *Departures) fetch(ctx context.Context, from kqname.Address) error {
	a, err := kqrpc.Call[empty, departureList](ctx, d.client, from, methodFetch, empty{})
	if err != nil {
		return fmt.Errorf("fetch departures from %s: %w", from, err)
	}
	d.add(a.Departures, false, time.Now())
	return nil
}

// record records the end of a request; after a failure the next one may be made.
func (l *learning) record(a learned) {
	switch {
	case a.err != nil:
		l.asked[a.from] = false
	case a.from == theStore:
		l.storeRead = true
	default:
		l.peers++
	}
}

// isEnough reports whether the departures are known well enough to use an upstream.
func (l *learning) isEnough() bool {
	return l.peers >= minPeers || l.storeRead && l.peers > 0
}
