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
	"github.com/kumquatgw/kumquatgw/internal/peer/kqpeer"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// slow is a replica whose fetches take longer than the time between versions.
	slow struct {
		fetch   time.Duration
		applied atomic.Int64
	}

	alone struct{}
)

func (s *slow) Offer(ctx context.Context, _ kqresource.Root) error {
	select {
	case <-time.After(s.fetch):
		s.applied.Add(1)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (alone) Neighbours() []kqmember.Member { return nil }

func (alone) Allow(time.Time) time.Duration { return 0 }

// Operators change the configuration several times a second, and a node with a slow
// link needs longer for the objects of one version than until the next one. Were each
// fetch given up for the next, the node would stay on the version from before the
// changes until they end, and its callers would be answered by routes long gone.
func TestVersionsInQuickSuccessionComeIntoForce(t *testing.T) {
	replica := &slow{fetch: 60 * time.Millisecond}
	table := kqmember.NewTable(kqmember.Member{Node: "a", Domain: "d"})
	failed := func(v kqname.ConfigVersion, err error) { t.Errorf("version %d: %v", v, err) }
	d := kqdistribute.New(kqpeer.NewServer(nil), kqpeer.NewClient("a", nil), table, alone{}, alone{}, replica, failed)
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { d.Run(ctx) })
	const versions = 100
	for v := range versions {
		d.Take(ctx, kqresource.Root{Version: kqname.ConfigVersion(v + 1)})
		time.Sleep(10 * time.Millisecond)
	}
	if n := replica.applied.Load(); n < 5 {
		t.Errorf("%d versions came into force during %d changes, want at least 5", n, versions)
	}
}
