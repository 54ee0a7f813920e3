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
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// frozenPlatform never answers a Get; the call ends only when it is cancelled.
type frozenPlatform struct {
	*kqfakestore.Fake
	requested    chan struct{}
	requestEnded atomic.Bool
}

func (f *frozenPlatform) Get(ctx context.Context, _ string) (kqstore.Entry, error) {
	select {
	case f.requested <- struct{}{}:
	default:
	}
	<-ctx.Done()
	f.requestEnded.Store(true)
	return kqstore.Entry{}, ctx.Err()
}

// A node shuts down while a request to a frozen platform is in flight. Close must cancel
// the request. If it waited for the answer before it released the slot, the shutdown
// would have no bound and the node would be killed.
func TestCloseDoesNotWaitForAFrozenPlatform(t *testing.T) {
	f := &frozenPlatform{Fake: kqfakestore.New(), requested: make(chan struct{}, 1)}
	table := kqmember.NewTable(kqmember.Member{Node: "a", Domain: "one", Control: "127.0.0.1:1"})
	r := kqreader.New(f, table, countingWatcher{new(atomic.Int64)}, 0, func(context.Context, kqname.Address) {}, func(context.Context, bool) {}, func(error) {})
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { r.Run(ctx) })
	<-f.requested
	closed := make(chan struct{})
	group.Go(func() {
		r.Close(t.Context())
		close(closed)
	})
	select {
	case <-closed:
		if !f.requestEnded.Load() {
			t.Error("the request to the platform is still in flight after Close")
		}
	case <-time.After(5 * time.Second):
		t.Error("Close still waits for the platform after 5 s")
	}
	cancel()
	group.Wait()
}
