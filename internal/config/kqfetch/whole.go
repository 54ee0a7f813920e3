package kqfetch

import (
	"context"
	"fmt"
	"maps"

	"golang.org/x/time/rate"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
)

// builtObjects returns the wanted objects that this node has built itself.
func (f *Fetcher) builtObjects(wanted []kqresource.Digest) kqresource.Objects {
	if f.builder == nil {
		return make(kqresource.Objects, len(wanted))
	}
	return f.builder.BuiltObjects(wanted)
}

// fetchWholeVersion fetches, in one platform call, the wanted objects that this node
// has not built. Concurrent fetches wait for that call and then read only what this
// node still has not built.
func (f *Fetcher) fetchWholeVersion(ctx context.Context, wanted []kqresource.Digest, found kqresource.Objects) error {
	for {
		maps.Copy(found, f.builtObjects(wanted))
		if wanted = missing(wanted, found); len(wanted) == 0 {
			return nil
		}
		own, other := f.joinWholeRead()
		if own == nil {
			select {
			case <-other.done:
				continue
			case <-ctx.Done():
				return fmt.Errorf("wait for %d objects: %w", len(wanted), ctx.Err())
			}
		}
		defer f.finishWholeRead(own)
		own.err = f.readWholeVersion(ctx, wanted, found)
		return own.err
	}
}

// finishWholeRead ends a read of all objects for all fetches that wait for it. It must
// run even after a panic; otherwise all present and later fetches would wait until their
// contexts end.
func (f *Fetcher) finishWholeRead(own *sharedRead) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wholeRead = nil
	close(own.done)
}

// joinWholeRead registers a new read of all objects and returns it as own, or returns
// the one in flight as other. Many peers request a new version from a reader at once:
// one read serves every peer whose objects this node has built when the read ends,
// whereas a read for each peer would cost as many platform calls as the domain has nodes.
func (f *Fetcher) joinWholeRead() (own, other *sharedRead) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wholeRead != nil {
		return nil, f.wholeRead
	}
	f.wholeRead = &sharedRead{done: make(chan struct{})}
	return f.wholeRead, nil
}

// readWholeVersion reads the wanted objects with a single platform call.
func (f *Fetcher) readWholeVersion(ctx context.Context, wanted []kqresource.Digest, found kqresource.Objects) error {
	perSecond, burstSize := f.platformShare()
	f.limiter.SetLimit(rate.Limit(perSecond))
	f.limiter.SetBurst(burstSize)
	if err := f.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("wait for the platform's rate limit: %w", err)
	}
	// A newer version cancels ctx, but the read continues, since its result also
	// serves the newer version. If each read were cancelled, a slow server would
	// never finish one while versions come faster than it can read them.
	readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
	defer cancel()
	objects, err := f.platform.Fetch(readCtx, wanted)
	if err != nil {
		return fmt.Errorf("fetch %d objects: %w", len(wanted), err)
	}
	maps.Copy(found, objects)
	if left := missing(wanted, found); len(left) > 0 {
		return fmt.Errorf("fetch %d objects, first %s: %w", len(left), left[0], errMissing)
	}
	return nil
}
