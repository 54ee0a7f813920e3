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
	backoffBase = 50 * time.Millisecond
	backoffMost = 5 * time.Second
	// startPoll looks again whether a starting node may serve.
	startPoll = 100 * time.Millisecond
	// finishWithin is how long the fetch of a version may still take once a newer one
	// is known. Without it, versions that come faster than a node can fetch one would
	// each end the fetch of the one before, and the node would stay on an old version
	// for as long as they come; a fetch takes some 10 to 200 ms. A longer time would
	// let one silent peer keep the node from the newer version.
	finishWithin = 500 * time.Millisecond
)

// applying puts the newest root in force. A newer root ends the fetch of the
// one before, after a grace: a slow fetch would otherwise keep the node from a
// version that the rest of the fleet has long been serving.
func (d *Distributor) applying(ctx context.Context) {
	var applied kqname.ConfigVersion
	backoff := backoffBase
	for ctx.Err() == nil {
		if d.starting() {
			d.rest(ctx, startPoll)
			continue
		}
		inner, r := d.supersede(ctx)
		if r.root.Version <= applied {
			d.rest(ctx, 0)
			continue
		}
		err := d.replica.Offer(inner, r.root)
		switch {
		case err == nil:
			applied, backoff = r.root.Version, backoffBase
		case inner.Err() != nil:
			// A newer root is there.
		case errors.Is(err, kqsnapshot.ErrInvalid):
			// The same bytes will not become valid; the next version may be.
			d.failed(r.root.Version, err)
			applied = r.root.Version
		default:
			d.failed(r.root.Version, err)
			d.rest(ctx, rand.N(backoff)+time.Millisecond)
			backoff = min(2*backoff, backoffMost)
		}
	}
}

func (d *Distributor) supersede(ctx context.Context) (context.Context, record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.release()
	inner, cancel := context.WithCancel(ctx)
	d.release = cancel
	d.superseded = sync.OnceFunc(func() { time.AfterFunc(finishWithin, cancel) })
	return inner, d.newest()
}

// rest waits for something to apply, at most for most unless that is 0.
func (d *Distributor) rest(ctx context.Context, most time.Duration) {
	var timeout <-chan time.Time
	if most > 0 {
		timeout = time.After(most)
	}
	select {
	case <-ctx.Done():
	case <-d.apply:
	case <-timeout:
	}
}
