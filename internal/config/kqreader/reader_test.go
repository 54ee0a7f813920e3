package kqreader_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/config/kqreader"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstandin"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// idle is a watcher that counts how many run.
type idle struct{ running *atomic.Int64 }

func (i idle) Run(ctx context.Context) {
	i.running.Add(1)
	defer i.running.Add(-1)
	<-ctx.Done()
}

// domain is a failure domain with one node, which has become a reader.
type domain struct {
	platform *kqstandin.Standin
	table    *kqmember.Table
	reader   *kqreader.Reader
	running  atomic.Int64
	reads    atomic.Bool
}

func start(t *testing.T) *domain {
	t.Helper()
	d := &domain{
		platform: kqstandin.New(),
		table:    kqmember.NewTable(kqmember.Member{Node: "a", Domain: "one", Control: "127.0.0.1:1"}),
	}
	d.reader = kqreader.New(d.platform, d.table, idle{&d.running}, 0, func(context.Context, kqname.Address) {},
		func(_ context.Context, on bool) { d.reads.Store(on) }, func(error) {})
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { d.reader.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	await(t, "it reads", func() bool { return d.reads.Load() && d.running.Load() == 1 })
	return d
}

// A reader is paused for longer than its lease, somebody else takes its slot,
// and it wakes. It must notice by the platform's refusal and stop watching, or
// the platform's load would grow with every pause.
func TestReaderThatWokeAfterItsLeaseGivesUp(t *testing.T) {
	d := start(t)

	d.platform.SetFaults(kqstandin.Faults{LapseLeases: true})
	for slot := range 2 {
		// Others hold both slots now.
		if _, err := d.platform.Swap(t.Context(), kqreader.SlotKey("one", slot), 0, []byte("127.0.0.1:2"), ""); err != nil {
			t.Fatal(err)
		}
	}
	d.table.Merge(kqmember.Member{Node: "b", Domain: "one", Control: "127.0.0.1:2", Reader: true, Incarnation: 1})
	d.table.Merge(kqmember.Member{Node: "c", Domain: "one", Control: "127.0.0.1:2", Reader: true, Incarnation: 1})
	await(t, "it gives up", func() bool { return !d.reads.Load() && d.running.Load() == 0 })
}

// In a storm of starting nodes a reader does not answer in time, and others take
// its slot while its lease is still good. It must notice and stop, or each storm
// would leave readers behind, and the platform's calls would grow for good.
func TestReaderWhoseSlotWasTakenGivesUp(t *testing.T) {
	d := start(t)
	for slot := range 2 {
		if _, err := d.platform.Put(t.Context(), kqreader.SlotKey("one", slot), []byte("127.0.0.1:2"), ""); err != nil {
			t.Fatal(err)
		}
	}
	d.table.Merge(kqmember.Member{Node: "b", Domain: "one", Control: "127.0.0.1:2", Reader: true, Incarnation: 1})
	d.table.Merge(kqmember.Member{Node: "c", Domain: "one", Control: "127.0.0.1:2", Reader: true, Incarnation: 1})
	await(t, "it gives up", func() bool { return !d.reads.Load() && d.running.Load() == 0 })
}

// The platform is down for longer than the leases last, so every reader gives
// up. A server that is replaced meanwhile needs hosts that only readers hold; its
// callers would get no answer if the readers stopped serving their peers too.
func TestReadersServePeersWhileThePlatformIsDown(t *testing.T) {
	d := start(t)
	d.platform.SetFaults(kqstandin.Faults{Down: true})
	await(t, "it stops its watch", func() bool { return d.running.Load() == 0 })
	if !d.reads.Load() {
		t.Fatal("nobody holds the whole document any more")
	}
	d.platform.SetFaults(kqstandin.Faults{})
	await(t, "it reads again", func() bool { return d.running.Load() == 1 })
}

// A domain's reader is shut down. It frees its slot, so that its stand-by need
// not wait for the lease to lapse.
func TestLeavingReaderFreesItsSlot(t *testing.T) {
	d := start(t)
	d.reader.Close(t.Context())
	for slot := range 2 {
		if e, err := d.platform.Get(t.Context(), kqreader.SlotKey("one", slot)); err == nil {
			t.Errorf("slot %d is still %s's", slot, e.Value)
		}
	}
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}
