package kqreplica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqkeeper"
	"github.com/kumquatgw/kumquatgw/internal/config/kqinterest"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// fetchRounds bounds how often one version asks for missing objects: the
	// first round brings the hosts, the second the services that their routes
	// name, and the third what an interest that came meanwhile lacks.
	fetchRounds = 4
	// flightTimeout bounds the fetch of a host, whoever waits for it.
	flightTimeout = 10 * time.Second
	// defaultMemory is the memory budget in bytes.
	defaultMemory = 64 << 20
	// decodedFactor is how many bytes an object takes in memory for each byte
	// of its canonical form, decoded and indexed beside the bytes themselves.
	decodedFactor = 4
)

// errPanicked ends the fetch of a host that a fault in this program ended.
var errPanicked = errors.New("fetch panicked")

type (
	// Source brings objects that the replica lacks.
	Source interface {
		Fetch(ctx context.Context, wanted []kqresource.Digest) (kqresource.Objects, error)
	}

	// Replica keeps the current snapshot. It is safe for concurrent use.
	//
	// Fetching goes on beside the swap and holds no lock, so that a slow source
	// cannot keep a newer version, or another host, from coming into force.
	Replica struct {
		source    Source
		current   atomic.Pointer[kqsnapshot.Snapshot]
		interests *kqinterest.Interests
		changed   []func(*kqsnapshot.Snapshot)
		refused   func(reason string)
		bound     func()
		memory    int
		keeper    *kqkeeper.Keeper
		// fresh takes the whole document anew for each version.
		fresh bool

		// swapping is held while a snapshot whose objects are all at hand is
		// built and put in force; the version is compared under it.
		swapping sync.Mutex

		mu       sync.RWMutex
		objects  kqresource.Objects
		services map[kqname.Service]bool
		all      bool
		flights  map[kqname.Host]*flight
		group    conc.WaitGroup
	}

	// flight is the fetch of a host that all who want it wait for.
	flight struct {
		done chan struct{}
		err  error
	}

	// Option sets up a Replica.
	Option func(*Replica)
)

// WithService keeps a service whether or not calls need it; a node keeps its
// own upstream's.
func WithService(s kqname.Service) Option { return func(r *Replica) { r.services[s] = true } }

// WithChanged calls f with each snapshot that comes into force.
func WithChanged(f func(*kqsnapshot.Snapshot)) Option {
	return func(r *Replica) { r.changed = append(r.changed, f) }
}

// WithKeeper has a fetch that panics end alone.
func WithKeeper(k *kqkeeper.Keeper) Option { return func(r *Replica) { r.keeper = k } }

// WithRefused calls f with the reason of each version that is refused.
func WithRefused(f func(reason string)) Option { return func(r *Replica) { r.refused = f } }

// WithMemory bounds the bytes of configuration that are held; bound is told
// each time that a host is dropped for it.
func WithMemory(bytes int, bound func()) Option {
	return func(r *Replica) { r.memory, r.bound = bytes, bound }
}

// WithWholeDocument takes every object anew for each version, whatever the
// traffic needs. It is the baseline that closures are measured against.
func WithWholeDocument() Option { return func(r *Replica) { r.fresh = true } }

// New returns a replica that holds the empty version 0.
func New(source Source, options ...Option) *Replica {
	r := &Replica{
		source:    source,
		interests: kqinterest.New(),
		objects:   make(kqresource.Objects),
		services:  make(map[kqname.Service]bool),
		flights:   make(map[kqname.Host]*flight),
		refused:   func(string) {},
		bound:     func() {},
		memory:    defaultMemory,
	}
	for _, o := range options {
		o(r)
	}
	r.current.Store(&kqsnapshot.Snapshot{})
	return r
}

// Current returns the snapshot in force. A call keeps the one it began with.
func (r *Replica) Current() *kqsnapshot.Snapshot { return r.current.Load() }

// Offer takes in a root that was heard of. It returns nil without a change for
// a version that is not above the current one, and an error, with the current
// version kept whole, for one that cannot be fetched or is invalid.
func (r *Replica) Offer(ctx context.Context, root kqresource.Root) error {
	if v := r.Current().Version(); root.Version < v {
		return nil
	} else if root.Version == v {
		return r.Fill(ctx)
	}
	if err := r.stage(ctx, root, interest{}); err != nil {
		r.refuse(ctx, err)
		return fmt.Errorf("apply version %d: %w", root.Version, err)
	}
	if r.holdsAll() && !r.fresh {
		return r.fill(ctx, root)
	}
	return nil
}

// Want makes sure that the snapshot holds a host's routes, if the version in
// force has any, and returns that snapshot. All who wait for one host share one
// fetch, which goes on when ctx ends the wait. now renews the interest.
func (r *Replica) Want(ctx context.Context, host kqname.Host, now time.Time) (*kqsnapshot.Snapshot, error) {
	current := r.Current()
	if exists, held := current.Knows(host); held || !exists {
		if held {
			r.interests.Renew(host, now)
		}
		return current, nil
	}
	f := r.fly(ctx, host, now)
	select {
	case <-f.done:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for routes of %s: %w", host, ctx.Err())
	}
	if f.err != nil {
		return nil, fmt.Errorf("fetch routes of %s: %w", host, f.err)
	}
	return r.Current(), nil
}

// Hosts returns the hosts that the node's traffic uses, the last used first.
func (r *Replica) Hosts() []kqname.Host { return r.interests.Hosts() }

func (r *Replica) fly(ctx context.Context, host kqname.Host, now time.Time) *flight {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, ok := r.flights[host]; ok {
		return f
	}
	f := &flight{done: make(chan struct{})}
	r.flights[host] = f
	r.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flightTimeout)
		defer cancel()
		f.err = errPanicked
		// Done also when it panics: all who wait for the host, now or later, would
		// wait for this flight.
		defer func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			delete(r.flights, host)
			close(f.done)
		}()
		r.keeper.Try("fetch", func() { f.err = r.land(ctx, host, now) })
	})
	return f
}

// land fetches a host into whichever version is in force when it is there.
func (r *Replica) land(ctx context.Context, host kqname.Host, now time.Time) error {
	for {
		root := r.Current().Root()
		err := r.stage(ctx, root, interest{host, now})
		if _, held := r.Current().Knows(host); held || ctx.Err() != nil {
			return err
		}
		if err != nil && r.Current().Version() == root.Version {
			return err
		}
		if exists, _ := r.Current().Knows(host); !exists {
			return nil
		}
	}
}
