package kqwatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqwatch"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// The platform answers other calls, but its watch never reports a changed root. Without
// the poll, an operator's change would be accepted but never take effect.
func TestVersionComesThroughWhenTheWatchIsSilent(t *testing.T) {
	platform := kqfakestore.New()
	platform.SetFaults(kqfakestore.Faults{SilentWatch: true})
	seen := make(chan kqname.ConfigVersion, 100)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	w := kqwatch.New(platform, func(_ context.Context, r kqresource.Root) { seen <- r.Version },
		func(err error) { t.Errorf("platform failed: %v", err) }, kqwatch.WithPollInterval(5*time.Millisecond))
	go func() { defer close(done); w.Run(ctx) }()
	for v := kqname.ConfigVersion(1); v <= 3; v++ {
		data, err := kqresource.Encode(kqresource.Root{Version: v})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := platform.Put(ctx, kqcommit.RootKey, data, kqstore.NoLease); err != nil {
			t.Fatal(err)
		}
		for got := kqname.ConfigVersion(0); got < v; {
			select {
			case got = <-seen:
			case <-time.After(20 * time.Second):
				t.Fatalf("version %d was not delivered within 20 s", v)
			}
		}
	}
	cancel()
	<-done
}
