package kqfetch

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsleep"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// buildWait is how long a node that watches the platform waits for its own watch to
	// report a version that a peer already has, and buildPoll the interval at which it
	// checks. Watches report a change within some 10 ms of each other.
	buildWait = 100 * time.Millisecond
	buildPoll = 5 * time.Millisecond
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
func (f *Fetcher) fetchWholeVersion(ctx context.Context, wanted []kqresource.Digest, found kqresource.Objects, t *Timing) error {
	for {
		start := time.Now()
		maps.Copy(found, f.builtObjects(wanted))
		if wanted = missing(wanted, found); len(wanted) == 0 {
			return nil
		}
		own, other := f.joinWholeRead()
		if own == nil {
			select {
			case <-other.done:
				t.Queued += time.Since(start)
				continue
			case <-ctx.Done():
				return fmt.Errorf("wait for %d objects: %w", len(wanted), ctx.Err())
			}
		}
		defer f.finishWholeRead(own)
		wanted = f.fetchFromWatchers(ctx, wanted, found)
		t.Peers += time.Since(start)
		if len(wanted) > 0 {
			start = time.Now()
			own.err = f.readWholeVersion(ctx, wanted, found)
			t.Platform += time.Since(start)
		}
		return own.err
	}
}

// fetchFromWatchers fetches objects from the members that watch the platform, and returns
// those still missing. If this node watches too, it waits until its own watch has reported
// the version. Without either, each version would cost the platform one read of everything
// for each reader.
func (f *Fetcher) fetchFromWatchers(ctx context.Context, wanted []kqresource.Digest, found kqresource.Objects) []kqresource.Digest {
	self := f.table.Self()
	var heard, listed []kqname.Address
	watches := false
	for _, m := range f.watchers() {
		switch {
		case m.StoreUnavailable:
		case m.Node == self.Node:
			watches = true
		case m.Incarnation > 0:
			heard = append(heard, m.Control)
		default:
			// Only the store has told of this member; it may be gone.
			listed = append(listed, m.Control)
		}
	}
	if watches {
		return f.awaitBuilt(ctx, wanted, found)
	}
	rand.Shuffle(len(heard), func(i, j int) { heard[i], heard[j] = heard[j], heard[i] })
	f.fetchFromPeers(ctx, append(heard, listed...), wanted, found)
	return missing(wanted, found)
}

// awaitBuilt waits, for at most buildWait, until this node has built the wanted objects, and
// returns those still missing.
func (f *Fetcher) awaitBuilt(ctx context.Context, wanted []kqresource.Digest, found kqresource.Objects) []kqresource.Digest {
	for waited := time.Duration(0); len(wanted) > 0 && waited < buildWait && ctx.Err() == nil; waited += buildPoll {
		kqsleep.For(ctx, buildPoll)
		maps.Copy(found, f.builtObjects(wanted))
		wanted = missing(wanted, found)
	}
	return wanted
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
