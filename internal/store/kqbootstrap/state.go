package kqbootstrap

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

// readTimeout bounds one read of the store.
const readTimeout = time.Second

// errPanicked is the result of a read that panicked.
var errPanicked = errors.New("read of the store panicked")

type (
	// Store is the part of the store that State uses.
	Store interface {
		List(ctx context.Context, prefix string) (kqstore.Listing, error)
	}

	// State is what the store held when the process started, or shortly after. It is safe
	// for concurrent use.
	State struct {
		store Store
		root  string
		group conc.WaitGroup

		mu sync.Mutex
		// current is the read in flight or the one that succeeded, or nil.
		current *read
	}

	// read is one read of the store. The other fields are set once done is closed.
	read struct {
		done    chan struct{}
		listing kqstore.Listing
		err     error
	}
)

// New returns the state of the keys that begin with root. It is read when List is first
// called.
func New(store Store, root string) *State { return &State{store: store, root: root} }

// List returns the entries that begin with a prefix, which must begin with the root. The
// first call that succeeds reads the store for all later ones; after a failed one the next
// call tries again.
func (s *State) List(ctx context.Context, prefix string) (kqstore.Listing, error) {
	r := s.join(ctx)
	select {
	case <-r.done:
	case <-ctx.Done():
		return kqstore.Listing{}, fmt.Errorf("wait for the state at the start: %w", ctx.Err())
	}
	if r.err != nil {
		return kqstore.Listing{}, fmt.Errorf("read the state at the start: %w", r.err)
	}
	found := kqstore.Listing{Revision: r.listing.Revision}
	for _, e := range r.listing.Entries {
		if strings.HasPrefix(e.Key, prefix) {
			found.Entries = append(found.Entries, e)
		}
	}
	return found, nil
}

// join returns the current read, or starts one. A read continues after ctx ends, since others
// may wait for it.
func (s *State) join(ctx context.Context) *read {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		return s.current
	}
	r := &read{done: make(chan struct{}), err: errPanicked}
	s.current = r
	s.group.Go(func() { s.run(context.WithoutCancel(ctx), r) })
	return r
}

// run reads the store and ends the read for all that wait for it.
func (s *State) run(ctx context.Context, r *read) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if r.err != nil {
			s.current = nil
		}
		close(r.done)
	}()
	kqsupervisor.From(ctx).RunRecovered("initial state", func() { r.listing, r.err = s.store.List(ctx, s.root) })
}
