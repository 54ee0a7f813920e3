package kqdistribute

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// The pause after a version could not be applied is random, up to a limit that
	// doubles from minBackoff to maxBackoff with each failure in a row.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
	// startPollInterval is how often a starting node checks whether it may apply its
	// first version.
	startPollInterval = 100 * time.Millisecond
	// supersedeGrace is how long the fetch of a version may continue once a newer one
	// is known. Without it, versions that arrive faster than a node can fetch one would
	// each cancel the previous fetch, and the node would stay on an old version for as
	// long as they arrive; a fetch takes some 10 to 200 ms. A longer time would let one
	// silent peer keep the node from the newer version.
	supersedeGrace = 500 * time.Millisecond
)

// applyLoop applies the newest root until ctx ends. A newer root cancels the fetch of
// the previous one after supersedeGrace; otherwise a slow fetch would keep the node
// from a version that the rest of the fleet already serves.
func (d *Distributor) applyLoop(ctx context.Context) {
	var applied kqname.ConfigVersion
	backoff := minBackoff
	for ctx.Err() == nil {
		if d.isStarting() {
			d.waitForApply(ctx, startPollInterval)
			continue
		}
		applyCtx, r := d.beginApply(ctx)
		if r.root.Version <= applied {
			d.waitForApply(ctx, 0)
			continue
		}
		err := d.replica.ApplyRoot(applyCtx, r.root)
		switch {
		case err == nil:
			applied, backoff = r.root.Version, minBackoff
			if report, ok := d.lag.InForce(applied, time.Now()); ok {
				d.onInForce(report)
			}
		case applyCtx.Err() != nil:
			// A newer root has superseded this one, or ctx has ended.
			d.lag.FetchSuperseded()
		case errors.Is(err, kqsnapshot.ErrInvalid):
			// A retry cannot succeed; the next version may be valid.
			d.onFailure(r.root.Version, err)
			applied = r.root.Version
		default:
			d.lag.FetchFailed()
			d.onFailure(r.root.Version, err)
			d.waitForApply(ctx, rand.N(backoff)+time.Millisecond)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// beginApply releases the context of the previous apply and returns the newest root,
// with a context that ends supersedeGrace after a newer root arrives.
func (d *Distributor) beginApply(ctx context.Context) (context.Context, rootRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancelApply()
	applyCtx, cancel := context.WithCancel(ctx)
	d.cancelApply = cancel
	d.startSupersedeGrace = sync.OnceFunc(func() { time.AfterFunc(supersedeGrace, cancel) })
	return applyCtx, d.newest()
}

// waitForApply waits until there may be a root to apply. It waits for at most maxWait,
// where 0 sets no limit.
func (d *Distributor) waitForApply(ctx context.Context, maxWait time.Duration) {
	var timeout <-chan time.Time
	if maxWait > 0 {
		timeout = time.After(maxWait)
	}
	select {
	case <-ctx.Done():
	case <-d.applyWake:
	case <-timeout:
	}
}
