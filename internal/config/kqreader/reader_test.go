package kqreader_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqreader"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/platform/kqstandin"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// idle is a watcher that counts how many run.
type idle struct{ running *atomic.Int64 }

func (i idle) Run(ctx context.Context) {
	i.running.Add(1)
	defer i.running.Add(-1)
	<-ctx.Done()
}

// A reader is paused for longer than its lease, somebody else takes its slot,
// and it wakes. It must notice by the platform's refusal and stop watching, or
// the platform's load would grow with every pause.
func TestReaderThatWokeAfterItsLeaseGivesUp(t *testing.T) {
	platform := kqstandin.New()
	var running atomic.Int64
	var reads atomic.Bool
	table := kqmember.NewTable(kqmember.Member{Node: "a", Domain: "one", Control: "127.0.0.1:1"})
	r := kqreader.New(platform, table, idle{&running}, 0, func(context.Context, kqname.Address) {},
		func(_ context.Context, on bool) { reads.Store(on) }, func(error) {})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); r.Run(ctx) }()
	await(t, "it reads", func() bool { return reads.Load() && running.Load() == 1 })

	platform.SetFaults(kqstandin.Faults{LapseLeases: true})
	for slot := range 2 {
		// Others hold both slots now.
		if _, err := platform.Swap(ctx, kqreader.SlotKey("one", slot), 0, []byte("127.0.0.1:2"), ""); err != nil {
			t.Fatal(err)
		}
	}
	table.Merge(kqmember.Member{Node: "b", Domain: "one", Control: "127.0.0.1:2", Reader: true, Incarnation: 1})
	table.Merge(kqmember.Member{Node: "c", Domain: "one", Control: "127.0.0.1:2", Reader: true, Incarnation: 1})
	await(t, "it gives up", func() bool { return !reads.Load() && running.Load() == 0 })
	cancel()
	<-done
}

// In a storm of starting nodes a reader does not answer in time, and others take
// its slot while its lease is still good. It must notice and stop, or each storm
// would leave readers behind, and the platform's calls would grow for good.
func TestReaderWhoseSlotWasTakenGivesUp(t *testing.T) {
	platform := kqstandin.New()
	var running atomic.Int64
	var reads atomic.Bool
	table := kqmember.NewTable(kqmember.Member{Node: "a", Domain: "one", Control: "127.0.0.1:1"})
	r := kqreader.New(platform, table, idle{&running}, 0, func(context.Context, kqname.Address) {},
		func(_ context.Context, on bool) { reads.Store(on) }, func(error) {})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); r.Run(ctx) }()
	await(t, "it reads", func() bool { return reads.Load() && running.Load() == 1 })
	for slot := range 2 {
		if _, err := platform.Put(ctx, kqreader.SlotKey("one", slot), []byte("127.0.0.1:2"), ""); err != nil {
			t.Fatal(err)
		}
	}
	table.Merge(kqmember.Member{Node: "b", Domain: "one", Control: "127.0.0.1:2", Reader: true, Incarnation: 1})
	table.Merge(kqmember.Member{Node: "c", Domain: "one", Control: "127.0.0.1:2", Reader: true, Incarnation: 1})
	await(t, "it gives up", func() bool { return !reads.Load() && running.Load() == 0 })
	cancel()
	<-done
}

// The platform is down for longer than the leases last, so every reader gives
// up. A server that is replaced meanwhile needs hosts that only readers hold; its
// callers would get no answer if the readers stopped serving their peers too.
func TestReadersServePeersWhileThePlatformIsDown(t *testing.T) {
	platform := kqstandin.New()
	var running atomic.Int64
	var reads atomic.Bool
	table := kqmember.NewTable(kqmember.Member{Node: "a", Domain: "one", Control: "127.0.0.1:1"})
	r := kqreader.New(platform, table, idle{&running}, 0, func(context.Context, kqname.Address) {},
		func(_ context.Context, on bool) { reads.Store(on) }, func(error) {})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); r.Run(ctx) }()
	await(t, "it reads", func() bool { return reads.Load() && running.Load() == 1 })
	platform.SetFaults(kqstandin.Faults{Down: true})
	await(t, "it stops its watch", func() bool { return running.Load() == 0 })
	if !reads.Load() {
		t.Fatal("nobody holds the whole document any more")
	}
	platform.SetFaults(kqstandin.Faults{})
	await(t, "it reads again", func() bool { return running.Load() == 1 })
	cancel()
	<-done
}

// A domain's reader is shut down. It frees its slot, so that its stand-by need
// not wait for the lease to lapse.
func TestLeavingReaderFreesItsSlot(t *testing.T) {
	platform := kqstandin.New()
	var running atomic.Int64
	table := kqmember.NewTable(kqmember.Member{Node: "a", Domain: "one", Control: "127.0.0.1:1"})
	r := kqreader.New(platform, table, idle{&running}, 0, func(context.Context, kqname.Address) {},
		func(context.Context, bool) {}, func(error) {})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); r.Run(ctx) }()
	await(t, "it reads", func() bool { return running.Load() == 1 })
	r.Close(ctx)
	for slot := range 2 {
		if e, err := platform.Get(ctx, kqreader.SlotKey("one", slot)); err == nil {
			t.Errorf("slot %d is still %s's", slot, e.Value)
		}
	}
	cancel()
	<-done
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}
