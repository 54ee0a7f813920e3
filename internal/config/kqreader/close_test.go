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

// frozenPlatform accepts requests and never answers.
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

// A stopping node was killed because its shutdown took too long: Close waited, without
// a bound, for an earlier request to a frozen platform before it released the slot. Close
// must cancel the request in flight.
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
