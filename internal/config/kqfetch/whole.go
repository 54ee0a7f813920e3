package kqfetch

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"
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
	// maxPlatformReads bounds the reads of the platform that one fetch waits for: the first
	// may have begun before the version was written.
	maxPlatformReads = 2
)

// builtObjects returns the wanted objects that this node has built itself.
func (f *Fetcher) builtObjects(wanted []kqresource.Digest) kqresource.Objects {
	if f.builder == nil {
		return make(kqresource.Objects, len(wanted))
	}
	return f.builder.BuiltObjects(wanted)
}

// fetchWholeVersion fetches the wanted objects that this node has not built from the watchers
// and, if they do not return them in time, from the platform. Of concurrent fetches, one
// fetches each object for all; a fetch waits for no other objects than its own.
func (f *Fetcher) fetchWholeVersion(ctx context.Context, wanted []kqresource.Digest, found kqresource.Objects, t *Timing) error {
	for {
		maps.Copy(found, f.builtObjects(wanted))
		if wanted = missing(wanted, found); len(wanted) == 0 {
			return nil
		}
		claimed, own, other := f.claim(wanted)
		if own != nil {
			if err := f.fetchClaimed(ctx, claimed, own, t); err != nil {
				maps.Copy(found, own.objects)
				return err
			}
			maps.Copy(found, own.objects)
			continue
		}
		start := time.Now()
		select {
		case <-other.done:
			t.Queued += time.Since(start)
			maps.Copy(found, other.objects)
			if other.err != nil && !errors.Is(other.err, context.Canceled) && !errors.Is(other.err, context.DeadlineExceeded) {
				return other.err
			}
		case <-ctx.Done():
			return fmt.Errorf("wait for %d objects: %w", len(wanted), ctx.Err())
		}
	}
}

// claim registers a shared read of those wanted objects that no other fetch is fetching. If
// others fetch all of them, own is nil and other is one of their reads.
func (f *Fetcher) claim(wanted []kqresource.Digest) (claimed []kqresource.Digest, own, other *sharedRead) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range wanted {
		if r, ok := f.reads[d]; ok {
			other = r
			continue
		}
		claimed = append(claimed, d)
	}
	if len(claimed) == 0 {
		return nil, nil, other
	}
	own = &sharedRead{done: make(chan struct{}), err: errPanicked}
	for _, d := range claimed {
		f.reads[d] = own
	}
	return claimed, own, nil
}

// fetchClaimed fetches the objects that this fetch has claimed, and ends the claim. own gets
// those that were found, also on an error.
func (f *Fetcher) fetchClaimed(ctx context.Context, claimed []kqresource.Digest, own *sharedRead, t *Timing) error {
	// Deferred to run even after a panic; otherwise all present and later fetches of the
	// objects would wait until their contexts end.
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, d := range claimed {
			delete(f.reads, d)
		}
		close(own.done)
	}()
	objects := make(kqresource.Objects)
	err := f.fetchUnbuilt(ctx, claimed, objects, t)
	own.objects, own.err = objects, err
	return err
}

// fetchUnbuilt fetches objects from the watchers, and beside them from the platform if they
// have not returned all within ownerTimeout. If this node watches too, it first waits until
// its own watch has reported the version. It adds what was found to found, also on an error.
func (f *Fetcher) fetchUnbuilt(ctx context.Context, wanted []kqresource.Digest, found kqresource.Objects, t *Timing) error {
	start := time.Now()
	watchers, watches := f.otherWatchers()
	if watches {
		if wanted = f.awaitBuilt(ctx, wanted, found); len(wanted) == 0 {
			return nil
		}
	}
	peersCtx, cancelPeers := context.WithCancel(ctx)
	fromPeers, peersDone := make(kqresource.Objects), make(chan struct{})
	var group conc.WaitGroup
	group.Go(func() {
		defer close(peersDone)
		f.fetchFromPeers(peersCtx, watchers, wanted, fromPeers)
	})
	defer func() {
		cancelPeers()
		group.Wait()
		maps.Copy(found, fromPeers)
	}()
	timer := time.NewTimer(ownerTimeout)
	defer timer.Stop()
	select {
	case <-peersDone:
	case <-timer.C:
	case <-ctx.Done():
		return fmt.Errorf("fetch %d objects from watchers: %w", len(wanted), ctx.Err())
	}
	if t.Peers += time.Since(start); isClosed(peersDone) && len(missing(wanted, fromPeers)) == 0 {
		return nil
	}
	return f.readBeside(ctx, wanted, found, fromPeers, peersDone, t)
}

// readBeside reads objects from the platform while the watchers may still return them, and
// ends when either has returned all.
func (f *Fetcher) readBeside(ctx context.Context, wanted []kqresource.Digest, found, fromPeers kqresource.Objects, peersDone <-chan struct{}, t *Timing) error {
	start := time.Now()
	defer func() { t.Platform += time.Since(start) }()
	var err error
	for reads := 0; reads < maxPlatformReads; {
		read, shared := f.readPlatform(ctx, wanted)
		select {
		case <-read.done:
			maps.Copy(found, f.builtObjects(wanted))
			maps.Copy(found, read.objects)
			if len(missing(wanted, found)) == 0 {
				return nil
			}
			if reads, err = reads+1, read.err; !shared {
				reads = maxPlatformReads
			}
		case <-peersDone:
			peersDone = nil
			if len(missing(wanted, fromPeers)) == 0 {
				return nil
			}
		case <-ctx.Done():
			return fmt.Errorf("read %d objects: %w", len(wanted), ctx.Err())
		}
	}
	if peersDone != nil {
		select {
		case <-peersDone:
		case <-ctx.Done():
			return fmt.Errorf("fetch %d objects from watchers: %w", len(wanted), ctx.Err())
		}
	}
	left := missing(missing(wanted, found), fromPeers)
	switch {
	case len(left) == 0:
		return nil
	case err != nil:
		return err
	default:
		return fmt.Errorf("fetch %d objects, first %s: %w", len(left), left[0], errMissing)
	}
}

// otherWatchers returns the control addresses of the other members that watch the platform,
// those that have been heard of first, and whether this node watches too. Without them, each
// version would cost the platform one read of everything for each reader.
func (f *Fetcher) otherWatchers() (addresses []kqname.Address, watches bool) {
	self := f.table.Self()
	var listed []kqname.Address
	for _, m := range f.watchers() {
		switch {
		case m.StoreUnavailable:
		case m.Node == self.Node:
			watches = true
		case m.Incarnation > 0:
			addresses = append(addresses, m.Control)
		default:
			// Only the store has told of this member; it may be gone.
			listed = append(listed, m.Control)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return append(addresses, listed...), watches
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

// readPlatform starts a read of all objects from the platform, or returns the one in flight
// and true. Many peers request a new version from a reader at once: one read serves every
// peer whose objects this node has built when the read ends, whereas a read for each peer
// would cost as many platform calls as the domain has nodes.
func (f *Fetcher) readPlatform(ctx context.Context, wanted []kqresource.Digest) (read *sharedRead, shared bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wholeRead != nil {
		return f.wholeRead, true
	}
	read = &sharedRead{done: make(chan struct{}), err: errPanicked}
	f.wholeRead = read
	f.group.Go(func() {
		defer func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.wholeRead = nil
			close(read.done)
		}()
		// A newer version cancels ctx, but the read continues, since its result also
		// serves the newer version. If each read were cancelled, a slow server would
		// never finish one while versions come faster than it can read them.
		readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
		defer cancel()
		objects, err := f.readWholeVersion(readCtx, wanted)
		read.objects, read.err = objects, err
	})
	return read, false
}

// readWholeVersion reads the wanted objects with a single platform call.
func (f *Fetcher) readWholeVersion(ctx context.Context, wanted []kqresource.Digest) (kqresource.Objects, error) {
	perSecond, burstSize := f.platformShare()
	f.limiter.SetLimit(rate.Limit(perSecond))
	f.limiter.SetBurst(burstSize)
	if err := f.limiter.Wait(ctx); err != nil {
		return nil, fmt.Errorf("wait for the platform's rate limit: %w", err)
	}
	objects, err := f.platform.Fetch(ctx, wanted)
	if err != nil {
		return nil, fmt.Errorf("fetch %d objects: %w", len(wanted), err)
	}
	return objects, nil
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
