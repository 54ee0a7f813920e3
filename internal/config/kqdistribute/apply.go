package kqdistribute

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	backoffBase = 50 * time.Millisecond
	backoffMost = 5 * time.Second
	// startPoll looks again whether a starting node may serve.
	startPoll = 100 * time.Millisecond
)

// applying puts the newest root in force. A newer root ends the fetch of the
// one before: a slow fetch would otherwise keep the node from a version that
// the rest of the fleet has long been serving.
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
	d.superseded()
	inner, cancel := context.WithCancel(ctx)
	d.superseded = cancel
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
