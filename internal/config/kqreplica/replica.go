// Package kqreplica holds the configuration that one node's traffic needs:
// always one whole version, whose number only grows.
package kqreplica

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// fetchRounds bounds how often one apply asks for missing objects: the first
// round brings the hosts, the second the services that their routes name.
const fetchRounds = 3

type (
	// Source brings objects that the replica lacks.
	Source interface {
		Fetch(ctx context.Context, wanted []kqresource.Digest) (kqresource.Objects, error)
	}

	// Replica keeps the current snapshot. It is safe for concurrent use.
	Replica struct {
		source  Source
		current atomic.Pointer[kqsnapshot.Snapshot]

		// apply is held while a snapshot is built, so that two versions that
		// cross are applied in turn and the lower one is then refused.
		apply    sync.Mutex
		mu       sync.RWMutex
		objects  kqresource.Objects
		hosts    map[kqname.Host]time.Time
		services map[kqname.Service]bool
		changed  []func(*kqsnapshot.Snapshot)
		refused  func(reason string)
		// whole and fresh make up the direct strategy: the whole document, taken
		// anew for each version.
		whole, fresh bool
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

// WithRefused calls f with the reason of each version that is refused.
func WithRefused(f func(reason string)) Option { return func(r *Replica) { r.refused = f } }

// WithWholeDocument takes every object anew for each version, whatever the
// traffic needs. It is the baseline that closures are measured against.
func WithWholeDocument() Option { return func(r *Replica) { r.whole, r.fresh = true, true } }

// New returns a replica that holds the empty version 0.
func New(source Source, options ...Option) *Replica {
	r := &Replica{
		source:   source,
		objects:  make(kqresource.Objects),
		hosts:    make(map[kqname.Host]time.Time),
		services: make(map[kqname.Service]bool),
		refused:  func(string) {},
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
	r.apply.Lock()
	defer r.apply.Unlock()
	if root.Version <= r.Current().Version() {
		return nil
	}
	return r.swap(ctx, root)
}

// Want makes sure that the snapshot holds a host's routes, if the version in
// force has any, and returns that snapshot. All who wait for one host share one
// fetch. now renews the interest in the host.
func (r *Replica) Want(ctx context.Context, host kqname.Host, now time.Time) (*kqsnapshot.Snapshot, error) {
	if exists, held := r.Current().Knows(host); held || !exists {
		r.touch(host, now, held)
		return r.Current(), nil
	}
	r.apply.Lock()
	defer r.apply.Unlock()
	current := r.Current()
	if exists, held := current.Knows(host); held || !exists {
		return current, nil
	}
	r.touch(host, now, true)
	if err := r.swap(ctx, current.Root()); err != nil {
		return nil, fmt.Errorf("fetch routes of %s: %w", host, err)
	}
	return r.Current(), nil
}

// HoldAll lets the replica hold the whole document, from the next version on,
// whatever the node's own traffic needs; readers do so for the others.
func (r *Replica) HoldAll(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.whole = on
}

// Sweep drops interests that have been idle since before.
func (r *Replica) Sweep(before time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	dropped := 0
	for host, used := range r.hosts {
		if used.Before(before) {
			delete(r.hosts, host)
			dropped++
		}
	}
	return dropped
}

// Object returns the bytes of an object that the replica holds, for peers.
func (r *Replica) Object(d kqresource.Digest) ([]byte, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	data, ok := r.objects[d]
	return data, ok
}

func (r *Replica) touch(host kqname.Host, now time.Time, held bool) {
	if !held {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts[host] = now
}

// swap builds the snapshot of a root off to the side and then exchanges one
// pointer, so that no call ever sees a part of it.
func (r *Replica) swap(ctx context.Context, root kqresource.Root) error {
	hosts, services, objects := r.needs()
	if r.holdsAll() {
		hosts, services = slices.Collect(maps.Keys(root.Hosts)), slices.Collect(maps.Keys(root.Services))
	}
	if r.fresh {
		objects = make(kqresource.Objects)
	}
	for range fetchRounds {
		snapshot, missing, err := kqsnapshot.Build(root, objects, hosts, services)
		if err == nil {
			r.keep(root, objects)
			r.current.Store(snapshot)
			for _, f := range r.changed {
				f(snapshot)
			}
			return nil
		}
		if !errors.Is(err, kqsnapshot.ErrIncomplete) {
			r.refused("invalid")
			return fmt.Errorf("apply version %d: %w", root.Version, err)
		}
		fetched, err := r.source.Fetch(ctx, missing)
		if err != nil {
			r.refused("fetch_failed")
			return fmt.Errorf("apply version %d: %w", root.Version, err)
		}
		for digest, data := range fetched {
			if kqresource.DigestOf(data) != digest {
				r.refused("wrong_digest")
				return fmt.Errorf("apply version %d, object %s: %w", root.Version, digest, kqresource.ErrDigest)
			}
			objects[digest] = data
		}
	}
	r.refused("incomplete")
	return fmt.Errorf("apply version %d: %w", root.Version, kqsnapshot.ErrIncomplete)
}

func (r *Replica) holdsAll() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.whole
}

func (r *Replica) needs() ([]kqname.Host, []kqname.Service, kqresource.Objects) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	hosts := make([]kqname.Host, 0, len(r.hosts))
	for h := range r.hosts {
		hosts = append(hosts, h)
	}
	services := make([]kqname.Service, 0, len(r.services))
	for s := range r.services {
		services = append(services, s)
	}
	objects := make(kqresource.Objects, len(r.objects))
	for d, data := range r.objects {
		objects[d] = data
	}
	return hosts, services, objects
}

// keep stores the objects that the root still names and lets the others go.
func (r *Replica) keep(root kqresource.Root, objects kqresource.Objects) {
	named := make(kqresource.Objects)
	for _, d := range root.Digests() {
		if data, ok := objects[d]; ok {
			named[d] = data
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.objects = named
}
