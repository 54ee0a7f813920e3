package kqreplica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/config/kqinterest"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// maxFetches bounds how often the missing objects of one version are fetched: first
	// the hosts, then the services that their routes name, then the hosts and the services
	// of a host added meanwhile. After each fetch, the snapshot is built again.
	maxFetches = 4
	// hostFetchTimeout bounds the shared fetch of a host, independent of the
	// deadlines of the callers that wait for it.
	hostFetchTimeout = 10 * time.Second
	// defaultMemoryBudget is in bytes.
	defaultMemoryBudget = 64 << 20
	// decodedFactor is the memory that a decoded and indexed object takes, as a
	// multiple of its encoded size and in addition to the encoded bytes.
	decodedFactor = 4
)

// errPanicked is the result of a host's fetch that panicked.
var errPanicked = errors.New("fetch of host panicked")

type (
	// Source fetches objects that the replica lacks.
	Source interface {
		Fetch(ctx context.Context, wanted []kqresource.Digest) (kqresource.Objects, error)
	}

	// Replica holds the current snapshot. It is safe for concurrent use.
	//
	// Fetches hold no lock, so that a slow source cannot delay a newer version or
	// another host.
	Replica struct {
		source        Source
		current       atomic.Pointer[kqsnapshot.Snapshot]
		interests     *kqinterest.Interests
		onChange      []func(*kqsnapshot.Snapshot)
		onRefused     func(reason string)
		onMemoryLimit func()
		memoryBudget  int
		supervisor    *kqsupervisor.Supervisor
		// wholeDocument makes the snapshot hold all hosts and services of a version.
		wholeDocument bool

		// applyMu is held while a snapshot is built and made current; it makes
		// the comparison of versions and the replacement atomic.
		applyMu sync.Mutex

		mu          sync.RWMutex
		objects     kqresource.Objects
		services    map[kqname.Service]bool
		holdAll     bool
		hostFetches map[kqname.Host]*hostFetch
		group       conc.WaitGroup
	}

	// hostFetch is a fetch in flight of a host, shared by all waiting callers.
	hostFetch struct {
		done chan struct{}
		err  error
	}

	// Option configures a Replica.
	Option func(*Replica)
)

// WithService always holds a service, even if no held route names it; a node
// does so for the service of its own upstream.
func WithService(s kqname.Service) Option { return func(r *Replica) { r.services[s] = true } }

// WithOnChange calls f with each snapshot that becomes current, also if only its hosts
// differ from those of the previous one.
func WithOnChange(f func(*kqsnapshot.Snapshot)) Option {
	return func(r *Replica) { r.onChange = append(r.onChange, f) }
}

// WithSupervisor recovers panics of host fetches by s, so that a panic ends only the
// fetch.
func WithSupervisor(s *kqsupervisor.Supervisor) Option { return func(r *Replica) { r.supervisor = s } }

// WithOnRefused calls f with the reason for each attempt to apply a newer version that
// fails or is cancelled.
func WithOnRefused(f func(reason string)) Option { return func(r *Replica) { r.onRefused = f } }

// WithMemoryBudget limits the memory that the held hosts' routes take and, separately,
// the encoded bytes of all objects when HoldAll adds some. onMemoryLimit is called for
// each host dropped, and each fetch of all objects cut short, because of it.
func WithMemoryBudget(bytes int, onMemoryLimit func()) Option {
	return func(r *Replica) { r.memoryBudget, r.onMemoryLimit = bytes, onMemoryLimit }
}

// WithWholeDocument holds all hosts and services of each version, regardless of the
// node's traffic and the memory budget. It fetches every object that differs from the
// current snapshot's. It is the baseline that partial replication is compared with.
func WithWholeDocument() Option { return func(r *Replica) { r.wholeDocument = true } }

// New returns a Replica that holds the empty version 0.
func New(source Source, options ...Option) *Replica {
	r := &Replica{
		source:        source,
		interests:     kqinterest.New(),
		objects:       make(kqresource.Objects),
		services:      make(map[kqname.Service]bool),
		hostFetches:   make(map[kqname.Host]*hostFetch),
		onRefused:     func(string) {},
		onMemoryLimit: func() {},
		memoryBudget:  defaultMemoryBudget,
	}
	for _, o := range options {
		o(r)
	}
	r.current.Store(&kqsnapshot.Snapshot{})
	return r
}

// Current returns the current snapshot. A call uses one snapshot throughout.
func (r *Replica) Current() *kqsnapshot.Snapshot { return r.current.Load() }

// ApplyRoot applies a newer root. It ignores an older version, and for the current
// one calls FetchMissing. If the version is invalid or cannot be fetched, it returns an
// error and keeps the current version. If HoldAll is on, it then fetches all other
// objects of the version; an error of that fetch leaves the new version current.
func (r *Replica) ApplyRoot(ctx context.Context, root kqresource.Root) error {
	if v := r.Current().Version(); root.Version < v {
		return nil
	} else if root.Version == v {
		return r.FetchMissing(ctx)
	}
	if err := r.fetchAndApply(ctx, root, hostInterest{}); err != nil {
		r.reportRefusal(ctx, err)
		return fmt.Errorf("apply version %d: %w", root.Version, err)
	}
	if r.holdsAll() && !r.wholeDocument {
		return r.fetchAll(ctx, root)
	}
	return nil
}

// EnsureHost returns a snapshot that holds a host's routes, if the current version has
// any, and fetches them if necessary. Concurrent calls for a host share one
// fetch, which continues when ctx ends. The host's time of last use becomes about now.
func (r *Replica) EnsureHost(ctx context.Context, host kqname.Host, now time.Time) (*kqsnapshot.Snapshot, error) {
	current := r.Current()
	if exists, held := current.HostStatus(host); held || !exists {
		if held {
			r.interests.Renew(host, now)
		}
		return current, nil
	}
	f := r.startHostFetch(ctx, host, now)
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

// Hosts returns the hosts that the node's traffic uses, the most recently used
// first.
func (r *Replica) Hosts() []kqname.Host { return r.interests.Hosts() }

// startHostFetch returns the fetch in flight of a host, or starts one.
func (r *Replica) startHostFetch(ctx context.Context, host kqname.Host, now time.Time) *hostFetch {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, ok := r.hostFetches[host]; ok {
		return f
	}
	f := &hostFetch{done: make(chan struct{})}
	r.hostFetches[host] = f
	r.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), hostFetchTimeout)
		defer cancel()
		f.err = errPanicked
		// Deferred to run even after a panic; otherwise all present and later callers
		// for the host would wait until their contexts end, and no caller would fetch
		// it again.
		defer func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			delete(r.hostFetches, host)
			close(f.done)
		}()
		r.supervisor.RunRecovered("fetch", func() { f.err = r.fetchHost(ctx, host, now) })
	})
	return f
}

// fetchHost adds a host to the current version, and starts over if a newer
// version becomes current during the fetch.
func (r *Replica) fetchHost(ctx context.Context, host kqname.Host, now time.Time) error {
	for {
		root := r.Current().Root()
		err := r.fetchAndApply(ctx, root, hostInterest{host, now})
		if _, held := r.Current().HostStatus(host); held || ctx.Err() != nil {
			return err
		}
		if err != nil && r.Current().Version() == root.Version {
			return err
		}
		if exists, _ := r.Current().HostStatus(host); !exists {
			return nil
		}
	}
}
