package kqfetch

import (
	"context"
	"fmt"
	"maps"

	"golang.org/x/time/rate"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
)

// made returns what this node has made itself.
func (f *Fetcher) made(wanted []kqresource.Digest) kqresource.Objects {
	if f.maker == nil {
		return make(kqresource.Objects, len(wanted))
	}
	return f.maker.Made(wanted)
}

// allAtOnce takes all objects in one call.
func (f *Fetcher) allAtOnce(ctx context.Context, wanted []kqresource.Digest, found kqresource.Objects) error {
	for {
		maps.Copy(found, f.made(wanted))
		if wanted = missing(wanted, found); len(wanted) == 0 {
			return nil
		}
		own, other := f.join()
		if own == nil {
			select {
			case <-other.done:
				continue
			case <-ctx.Done():
				return fmt.Errorf("wait for %d objects: %w", len(wanted), ctx.Err())
			}
		}
		defer f.landAll(own)
		own.err = f.readAll(ctx, wanted, found)
		return own.err
	}
}

// landAll ends a reading of all objects, also where it panics.
func (f *Fetcher) landAll(own *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reading = nil
	close(own.done)
}

// join begins a reading of all objects, or returns the one that is under way. Many
// peers ask a reader for a new version at once: one reading serves them all, where
// one each would cost the platform as many calls as the domain has nodes.
func (f *Fetcher) join() (own, other *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reading != nil {
		return nil, f.reading
	}
	f.reading = &flight{done: make(chan struct{})}
	return f.reading, nil
}

// readAll reads all objects from the platform once.
func (f *Fetcher) readAll(ctx context.Context, wanted []kqresource.Digest, found kqresource.Objects) error {
	perSecond, most := f.share()
	f.limiter.SetLimit(rate.Limit(perSecond))
	f.limiter.SetBurst(most)
	if err := f.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("keep to the platform's rate: %w", err)
	}
	// A newer version ends the wait for this one. What is read all the same serves
	// the newer one; given up each time, a slow server would never have any while
	// versions come faster than it can read one.
	reading, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
	defer cancel()
	objects, err := f.platform.Fetch(reading, wanted)
	if err != nil {
		return fmt.Errorf("fetch %d objects: %w", len(wanted), err)
	}
	maps.Copy(found, objects)
	if left := missing(wanted, found); len(left) > 0 {
		return fmt.Errorf("fetch %d objects, first %s: %w", len(left), left[0], errMissing)
	}
	return nil
}
