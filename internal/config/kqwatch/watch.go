package kqwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqkeeper"
	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

const (
	watchWait   = 20 * time.Second
	pollEvery   = 10 * time.Second
	backoffBase = 100 * time.Millisecond
	backoffMost = 5 * time.Second
)

type (
	// Store is the part of the platform's service that a watcher uses.
	Store interface {
		Get(ctx context.Context, key string) (kqstore.Entry, error)
		Watch(ctx context.Context, key string, after kqstore.Revision, wait time.Duration) (kqstore.Entry, error)
	}

	// Watcher hands each root that it sees to its receiver.
	Watcher struct {
		poll    time.Duration
		store   Store
		receive func(context.Context, kqresource.Root)
		failed  func(error)
	}

	// Option sets up a Watcher.
	Option func(*Watcher)
)

// WithPoll sets how often the root is read beside the watch. It bounds how long
// a watch that went silent can keep a version from the fleet.
func WithPoll(every time.Duration) Option { return func(w *Watcher) { w.poll = every } }

// New returns a watcher; failed is told of each call that went wrong.
func New(store Store, receive func(context.Context, kqresource.Root), failed func(error), options ...Option) *Watcher {
	w := &Watcher{store: store, receive: receive, failed: failed, poll: pollEvery}
	for _, o := range options {
		o(w)
	}
	return w
}

// Run follows the root until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var group conc.WaitGroup
	kept := kqkeeper.From(ctx)
	group.Go(func() {
		var seen kqstore.Revision
		kept.Keep(ctx, "watch", func() {
			w.repeat(ctx, 0, func() error {
				e, err := w.store.Watch(ctx, kqcommit.RootKey, seen, watchWait)
				if err != nil {
					return err
				}
				seen = e.Revision
				return w.take(ctx, e)
			})
		})
	})
	group.Go(func() {
		kept.Keep(ctx, "poll", func() {
			w.repeat(ctx, w.poll, func() error {
				e, err := w.store.Get(ctx, kqcommit.RootKey)
				if err != nil {
					return err
				}
				return w.take(ctx, e)
			})
		})
	})
	group.Wait()
}

func (w *Watcher) take(ctx context.Context, e kqstore.Entry) error {
	var root kqresource.Root
	if err := kqresource.Decode(e.Value, &root); err != nil {
		return err
	}
	w.receive(ctx, root)
	return nil
}

// repeat calls step until ctx ends, with a pause after each success and a
// growing, fully jittered one after failures, so that nodes which lost the
// platform together do not come back to it together.
func (w *Watcher) repeat(ctx context.Context, pause time.Duration, step func() error) {
	backoff := backoffBase
	for ctx.Err() == nil {
		wait := pause
		err := step()
		if err != nil && !errors.Is(err, kqstore.ErrNotFound) {
			if ctx.Err() == nil {
				w.failed(err)
			}
			wait = rand.N(backoff)
			backoff = min(backoff*2, backoffMost)
		} else {
			backoff = backoffBase
			if err != nil {
				// A service that answers at once that nothing changed would
				// otherwise be asked as fast as it can answer.
				wait = max(wait, backoffBase)
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
