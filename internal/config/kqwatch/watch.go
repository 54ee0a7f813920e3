package kqwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

const (
	watchWait           = 20 * time.Second
	defaultPollInterval = 10 * time.Second
	minBackoff          = 100 * time.Millisecond
	maxBackoff          = 5 * time.Second
)

type (
	// Store is the subset of the platform's key-value API that a Watcher uses.
	Store interface {
		Get(ctx context.Context, key string) (kqstore.Entry, error)
		Watch(ctx context.Context, key string, after kqstore.Revision, wait time.Duration) (kqstore.Entry, error)
	}

	// Watcher passes each root that it reads to onRoot.
	Watcher struct {
		pollInterval time.Duration
		store        Store
		onRoot       func(context.Context, kqresource.Root)
		onFailure    func(error)
	}

	// Option configures a Watcher.
	Option func(*Watcher)
)

// WithPollInterval sets the interval of the poll. It bounds how long a silent watch can
// delay a version.
func WithPollInterval(every time.Duration) Option { return func(w *Watcher) { w.pollInterval = every } }

// New returns a Watcher. onRoot is called with each root read, also repeatedly with the
// same one. onFailure is called with the error of each failed call other than
// kqstore.ErrNotFound, and of each root that cannot be decoded. The watch and the poll
// may call them concurrently.
func New(store Store, onRoot func(context.Context, kqresource.Root), onFailure func(error), options ...Option) *Watcher {
	w := &Watcher{store: store, onRoot: onRoot, onFailure: onFailure, pollInterval: defaultPollInterval}
	for _, o := range options {
		o(w)
	}
	return w
}

// Run watches and polls the root until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var group conc.WaitGroup
	supervisor := kqsupervisor.From(ctx)
	group.Go(func() { supervisor.RunWithRestart(ctx, "watch", func() { w.Watch(ctx) }) })
	group.Go(func() { supervisor.RunWithRestart(ctx, "poll", func() { w.Poll(ctx) }) })
	group.Wait()
}

// Watch waits for each change of the root until ctx ends.
func (w *Watcher) Watch(ctx context.Context) {
	var lastRevision kqstore.Revision
	w.repeat(ctx, 0, func() error {
		e, err := w.store.Watch(ctx, kqcommit.RootKey, lastRevision, watchWait)
		if err != nil {
			return err
		}
		lastRevision = e.Revision
		return w.deliver(ctx, e)
	})
}

// Poll reads the root at intervals until ctx ends.
func (w *Watcher) Poll(ctx context.Context) {
	w.repeat(ctx, w.pollInterval, func() error {
		e, err := w.store.Get(ctx, kqcommit.RootKey)
		if err != nil {
			return err
		}
		return w.deliver(ctx, e)
	})
}

// deliver decodes a root and passes it to onRoot.
func (w *Watcher) deliver(ctx context.Context, e kqstore.Entry) error {
	var root kqresource.Root
	if err := kqresource.Decode(e.Value, &root); err != nil {
		return err
	}
	w.onRoot(ctx, root)
	return nil
}

// repeat calls step until ctx ends, with a pause after each success and an exponential
// backoff with full jitter after failures, so that nodes which lost the platform together
// do not retry together. kqstore.ErrNotFound, which a watch returns if nothing has
// changed, is not a failure.
func (w *Watcher) repeat(ctx context.Context, pause time.Duration, step func() error) {
	backoff := minBackoff
	for ctx.Err() == nil {
		wait := pause
		err := step()
		if err != nil && !errors.Is(err, kqstore.ErrNotFound) {
			if ctx.Err() == nil {
				w.onFailure(err)
			}
			wait = rand.N(backoff)
			backoff = min(backoff*2, maxBackoff)
		} else {
			backoff = minBackoff
			if err != nil {
				// Without this minimum, a service that answers at once that nothing
				// has changed would be called in a busy loop.
				wait = max(wait, minBackoff)
			}
		}
		if wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
	}
}
