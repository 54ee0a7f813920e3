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
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// frozen is a platform that takes requests and answers none.
type frozen struct {
	*kqstandin.Standin
	asked chan struct{}
	ended atomic.Bool
}

func (f *frozen) Get(ctx context.Context, _ string) (kqstore.Entry, error) {
	select {
	case f.asked <- struct{}{}:
	default:
	}
	<-ctx.Done()
	f.ended.Store(true)
	return kqstore.Entry{}, ctx.Err()
}

// A node that was told to stop was killed before it had written its end: its process went
// on for longer than the platform lets it. Its calls were over and it had said goodbye;
// then it gave back its slot as a reader, for which it waited until the platform, which was
// frozen, had answered what the node had asked before. The wait had no bound of the leave's.
func TestCloseDoesNotWaitForAFrozenPlatform(t *testing.T) {
	f := &frozen{Standin: kqstandin.New(), asked: make(chan struct{}, 1)}
	table := kqmember.NewTable(kqmember.Member{Node: "a", Domain: "one", Control: "127.0.0.1:1"})
	r := kqreader.New(f, table, idle{new(atomic.Int64)}, 0, func(context.Context, kqname.Address) {}, func(context.Context, bool) {}, func(error) {})
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { r.Run(ctx) })
	<-f.asked
	closed := make(chan struct{})
	group.Go(func() {
		r.Close(t.Context())
		close(closed)
	})
	select {
	case <-closed:
		if !f.ended.Load() {
			t.Error("the request to the platform goes on")
		}
	case <-time.After(5 * time.Second):
		t.Error("Close still waits for the platform after 5 s")
	}
	cancel()
	group.Wait()
}
