package kqdeparture_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqdeparture"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// upstreamTimeout is how long an upstream waits for the acknowledgement.
const upstreamTimeout = time.Second

// newDeparturesWithPeers returns the departures of a node with peers that answer at once.
func newDeparturesWithPeers(t *testing.T, store *kqfakestore.Fake) *kqdeparture.Departures {
	t.Helper()
	table := kqmember.NewTable(kqmember.Member{Node: "a", Control: "a:1", Incarnation: 1})
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	for _, name := range []kqname.Node{"b", "c", "d"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		peer := kqmember.Member{Node: name, Control: kqname.Address(l.Addr().String()), Incarnation: 1}
		server := kqrpc.NewServer(nil)
		kqdeparture.New(store, store, server, nil, kqmember.NewTable(peer))
		group.Go(func() { _ = server.Serve(ctx, l) })
		table.Merge(peer)
	}
	client := kqrpc.NewClient("a", nil)
	t.Cleanup(func() {
		cancel()
		client.Close()
		group.Wait()
	})
	return kqdeparture.New(store, store, kqrpc.NewServer(nil), client, table)
}

// Guards against a departure that only processes hold when it is acknowledged: a kill of all
// of them loses it, and calls reach an upstream that is about to exit.
func TestDepartureIsStoredBeforeItIsAcknowledged(t *testing.T) {
	store := kqfakestore.New()
	d := newDeparturesWithPeers(t, store)
	store.SetFaults(kqfakestore.Faults{Slow: 50 * time.Millisecond})
	d.Replicate(t.Context(), kqdeparture.Departure{Instance: "i", StartedMS: 1})
	store.SetFaults(kqfakestore.Faults{})
	if l, err := store.List(t.Context(), "kumquatgw/departures/"); err != nil || len(l.Entries) != 1 {
		t.Errorf("acknowledged while the store holds %d departures, error %v, want 1", len(l.Entries), err)
	}
}

// Guards against an upstream that gives up its acknowledgement because the store does not
// answer, and against a departure that the store then never gets.
func TestPeersHoldDepartureWhileStoreIsSilent(t *testing.T) {
	store := kqfakestore.New()
	d := newDeparturesWithPeers(t, store)
	for name, faults := range map[string]kqfakestore.Faults{"refusing": {Down: true}, "silent": {Slow: 2 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			store.SetFaults(faults)
			departure := kqdeparture.Departure{Instance: kqname.Instance(name), StartedMS: 1}
			for range 2 {
				begun := time.Now()
				if got := d.Replicate(t.Context(), departure); got != kqdeparture.HeldByPeers {
					t.Errorf("held by %q, want %q", got, kqdeparture.HeldByPeers)
				}
				if took := time.Since(begun); took >= upstreamTimeout {
					t.Errorf("acknowledged after %v, the upstream waits for %v", took, upstreamTimeout)
				}
			}
		})
	}
	store.SetFaults(kqfakestore.Faults{})
	departure := kqdeparture.Departure{Instance: "refusing", StartedMS: 1}
	for end := time.Now().Add(20 * time.Second); d.Replicate(t.Context(), departure) != kqdeparture.HeldByStore; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the store is back and does not get the departure")
		}
	}
}
