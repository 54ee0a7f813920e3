package kqdiscovery_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqdiscovery"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const awaitTimeout = 20 * time.Second

// peers holds the addresses that one node has discovered.
type peers struct {
	mu    sync.Mutex
	found map[kqname.Address]bool
}

func (p *peers) known(to kqname.Address) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.found), p.found[to]
}

func (p *peers) contact(_ context.Context, to kqname.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.found[to] = true
}

func start(t *testing.T, store *kqfakestore.Fake, node string) (*peers, *kqdiscovery.Discovery) {
	t.Helper()
	p := &peers{found: make(map[kqname.Address]bool)}
	d := kqdiscovery.New(store, kqname.Node(node), kqname.Address(node+":1"), p.known, p.contact, func(error) {})
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { d.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return p, d
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("after %s still not true: %s", awaitTimeout, what)
}

// Guards against nodes that never discover each other when they start without seeds
// during an outage of the store: callers of one would not reach the other's upstream.
func TestNodesFindEachOtherAfterStoreOutage(t *testing.T) {
	store := kqfakestore.New()
	store.SetFaults(kqfakestore.Faults{Down: true})
	a, _ := start(t, store, "a")
	b, _ := start(t, store, "b")
	store.SetFaults(kqfakestore.Faults{})
	await(t, "both nodes have discovered each other", func() bool {
		_, first := a.known("b:1")
		_, second := b.known("a:1")
		return first && second
	})
}

// Guards against entries that stay missing after their leases lapsed during an outage of
// the store: a node that starts then would discover no peer.
func TestEntryIsRewrittenAfterItsLeaseLapsed(t *testing.T) {
	store := kqfakestore.New()
	_, d := start(t, store, "a")
	listed := func() int {
		l, err := store.List(t.Context(), "kumquatgw/nodes/")
		if err != nil {
			return 0
		}
		return len(l.Entries)
	}
	await(t, "the entry is written", func() bool { return listed() == 1 })
	store.SetFaults(kqfakestore.Faults{LapseLeases: true})
	if listed() != 0 {
		t.Fatal("the entry outlives its lease")
	}
	d.RenewNow()
	await(t, "the entry is written again", func() bool { return listed() == 1 })
}
