package kqreader_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/config/kqreader"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// countingWatcher counts its calls of Run in progress.
type countingWatcher struct{ running *atomic.Int64 }

func (w countingWatcher) Run(ctx context.Context) {
	w.running.Add(1)
	defer w.running.Add(-1)
	<-ctx.Done()
}

// readerFixture is a failure domain with one node, which has become a reader.
type readerFixture struct {
	platform      *kqfakestore.Fake
	table         *kqmember.Table
	reader        *kqreader.Reader
	running       atomic.Int64
	holdsDocument atomic.Bool
}

func start(t *testing.T) *readerFixture {
	t.Helper()
	f := &readerFixture{
		platform: kqfakestore.New(),
		table:    kqmember.NewTable(kqmember.Member{Node: "a", Domain: "one", Control: "127.0.0.1:1"}),
	}
	f.reader = kqreader.New(f.platform, f.table, countingWatcher{&f.running}, 0, func(context.Context, kqname.Address) {},
		func(_ context.Context, on bool) { f.holdsDocument.Store(on) }, func(error) {})
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { f.reader.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	await(t, "reader watches and holds the whole document", func() bool { return f.holdsDocument.Load() && f.running.Load() == 1 })
	return f
}

// A reader is paused for longer than its lease lasts, and other nodes take the slots.
// When it resumes, it must detect that it has lost its slot and stop watching; otherwise
// the platform's load would grow with every pause.
func TestReaderStopsWatchingAfterLeaseExpires(t *testing.T) {
	f := start(t)

	f.platform.SetFaults(kqfakestore.Faults{LapseLeases: true})
	for slot := range 2 {
		// Other nodes now hold both slots.
		if _, err := f.platform.Swap(t.Context(), kqreader.SlotKey("one", slot), 0, []byte("127.0.0.1:2"), ""); err != nil {
			t.Fatal(err)
		}
	}
	f.table.Merge(kqmember.Member{Node: "b", Domain: "one", Control: "127.0.0.1:2", Reader: true, Incarnation: 1})
	f.table.Merge(kqmember.Member{Node: "c", Domain: "one", Control: "127.0.0.1:2", Reader: true, Incarnation: 1})
	await(t, "reader stops watching and holding the whole document", func() bool { return !f.holdsDocument.Load() && f.running.Load() == 0 })
}

// Many nodes start at once, and some take a reader's slot although its lease is still
// valid. It must detect this and stop watching; otherwise each such event would leave
// surplus readers, and the platform's load would keep growing.
func TestReaderStopsWatchingAfterSlotIsTaken(t *testing.T) {
	f := start(t)
	for slot := range 2 {
		if _, err := f.platform.Put(t.Context(), kqreader.SlotKey("one", slot), []byte("127.0.0.1:2"), ""); err != nil {
			t.Fatal(err)
		}
	}
	f.table.Merge(kqmember.Member{Node: "b", Domain: "one", Control: "127.0.0.1:2", Reader: true, Incarnation: 1})
	f.table.Merge(kqmember.Member{Node: "c", Domain: "one", Control: "127.0.0.1:2", Reader: true, Incarnation: 1})
	await(t, "reader stops watching and holding the whole document", func() bool { return !f.holdsDocument.Load() && f.running.Load() == 0 })
}

// The platform is down for longer than the leases last, so every reader stops watching.
// A server that is replaced meanwhile needs hosts that only readers hold, so the readers
// must continue to serve their peers; otherwise calls to these hosts would fail.
func TestReadersServePeersWhileThePlatformIsDown(t *testing.T) {
	f := start(t)
	f.platform.SetFaults(kqfakestore.Faults{Down: true})
	await(t, "reader stops watching", func() bool { return f.running.Load() == 0 })
	if !f.holdsDocument.Load() {
		t.Fatal("the reader no longer holds the whole document")
	}
	f.platform.SetFaults(kqfakestore.Faults{})
	await(t, "reader watches again", func() bool { return f.running.Load() == 1 })
}

// A reader that shuts down must release its slot, so that its successor need not wait
// until the lease expires.
func TestLeavingReaderFreesItsSlot(t *testing.T) {
	f := start(t)
	f.reader.Close(t.Context())
	for slot := range 2 {
		if e, err := f.platform.Get(t.Context(), kqreader.SlotKey("one", slot)); err == nil {
			t.Errorf("slot %d is still held by %s", slot, e.Value)
		}
	}
}

// await waits until done returns true; what describes the condition.
func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 30 s: %s", what)
		}
	}
}
