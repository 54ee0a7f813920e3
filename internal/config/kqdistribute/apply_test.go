package kqdistribute_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/config/kqdistribute"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// slowReplica takes longer to apply a version than the time between versions.
	slowReplica struct {
		fetch   time.Duration
		applied atomic.Int64
	}

	// loneNode is an overlay without neighbours and a budget without limit.
	loneNode struct{}
)

func (s *slowReplica) ApplyRoot(ctx context.Context, _ kqresource.Root) error {
	select {
	case <-time.After(s.fetch):
		s.applied.Add(1)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (loneNode) Neighbours() []kqmember.Member { return nil }

func (loneNode) Delay(time.Time) time.Duration { return 0 }

// Versions follow each other faster than a node with a slow link can fetch the objects
// of one. If each version cancelled the previous fetch, the node would stay on the
// version from before the changes until they end, and route calls by outdated routes.
func TestFrequentVersionsAreStillApplied(t *testing.T) {
	replica := &slowReplica{fetch: 60 * time.Millisecond}
	table := kqmember.NewTable(kqmember.Member{Node: "a", Domain: "d"})
	onFailure := func(v kqname.ConfigVersion, err error) { t.Errorf("version %d failed: %v", v, err) }
	d := kqdistribute.New(kqrpc.NewServer(nil), kqrpc.NewClient("a", nil), table, loneNode{}, loneNode{}, replica, onFailure)
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { d.Run(ctx) })
	const versions = 100
	for v := range versions {
		d.AcceptRoot(ctx, kqresource.Root{Version: kqname.ConfigVersion(v + 1)})
		time.Sleep(10 * time.Millisecond)
	}
	if n := replica.applied.Load(); n < 5 {
		t.Errorf("%d versions were applied during %d changes, want at least 5", n, versions)
	}
}
