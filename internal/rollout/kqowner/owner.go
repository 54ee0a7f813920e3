package kqowner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqtracker"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// LeaseTTL is how long an owner's lease lasts unless it is renewed.
	LeaseTTL = 3 * time.Second
	// renewInterval leaves time for one more attempt before the lease expires.
	renewInterval = LeaseTTL / 3
	// trustedFor is how long a holder relies on a lease after requesting it. It is
	// counted from before the request, by the holder's own clock, so that a holder
	// that was paused stops acting before the lease expires on the platform.
	trustedFor = LeaseTTL * 2 / 3
	// retryDelay is the pause after a call that failed, so that a platform that
	// recovers does not get calls from all nodes at once over and over.
	retryDelay = time.Second
	// settledAfter is how long a process has run when its peers have told it of all
	// rollouts. What the store holds of a rollout that it learns of later is news, which
	// peers also send.
	settledAfter = 10 * time.Second
	keyPrefix    = "kumquatgw/rollouts/"
)

type (
	// Store is the part of the platform's key-value service that the owner uses.
	Store interface {
		Get(ctx context.Context, key string) (kqstore.Entry, error)
		GetStale(ctx context.Context, key string) (kqstore.Entry, error)
		Swap(ctx context.Context, key string, expected kqstore.Revision, value []byte, lease kqstore.Lease) (kqstore.Revision, error)
		Delete(ctx context.Context, key string, expected kqstore.Revision) error
		Grant(ctx context.Context, ttl time.Duration) (kqstore.Lease, error)
		Renew(ctx context.Context, lease kqstore.Lease) error
	}

	// Initial returns what the store held when the process started.
	Initial interface {
		List(ctx context.Context, prefix string) (kqstore.Listing, error)
	}

	// Option configures an Owner.
	Option func(*Owner)

	// ProgressMerger merges progress into the node's rollouts. Join reports whether the
	// node's own progress changed and whether p lacks some of it.
	ProgressMerger interface {
		Join(id kqplan.ID, p kqprogress.Progress) (changed, senderStale bool)
	}

	// Owner keeps the leases of the rollouts that this node owns and acquires those that
	// are free. HoldsLease is safe for concurrent use. Sync and Release must not run
	// concurrently for the same plan.
	Owner struct {
		self kqname.Node
		// startedAt is when this process started.
		startedAt time.Time
		store     Store
		// initial is nil if there is no listing of the store.
		initial Initial
		merger  ProgressMerger

		mu    sync.Mutex
		plans map[kqplan.ID]*planState
	}

	// planState is what the owner keeps of one plan.
	planState struct {
		// loaded is set once the stored progress and final state have been read.
		loaded bool
		// lastSyncFailed is set if the last call of Sync failed for another reason than a
		// conflict or an expired lease, for example because the platform did not answer or
		// limited the rate. Calls before retryAt, which do nothing, leave it as it is.
		lastSyncFailed bool
		// retryAt is the time of the next attempt after a failed call.
		retryAt time.Time
		lease   kqstore.Lease
		// ownerRevision is the revision at which the owner's key was written.
		ownerRevision kqstore.Revision
		// renewedAt is when the lease was last requested or renewed, and validUntil the
		// time up to which this node relies on it.
		renewedAt  time.Time
		validUntil time.Time
		// saved is the progress stored on the platform, at revision.
		saved    kqprogress.Progress
		revision kqstore.Revision
	}

	// getFunc reads a key.
	getFunc func(ctx context.Context, key string) (kqstore.Entry, error)

	// record is a final state as it is stored on the platform.
	record struct {
		Final kqprogress.Final `cbor:"1,keyasint"`
		Why   string           `cbor:"2,keyasint"`
		By    kqname.Node      `cbor:"3,keyasint"`
		At    time.Time        `cbor:"4,keyasint"`
	}
)

// WithInitial makes the owner read the rollouts that it learns of at the start from what the
// store held then. Peers send what has changed since.
func WithInitial(i Initial) Option { return func(o *Owner) { o.initial = i } }

// New returns an owner without leases, of a process that started at startedAt.
func New(self kqname.Node, startedAt time.Time, store Store, merger ProgressMerger, options ...Option) *Owner {
	o := &Owner{self: self, startedAt: startedAt, store: store, merger: merger, plans: make(map[kqplan.ID]*planState)}
	for _, option := range options {
		option(o)
	}
	return o
}

// HoldsLease reports whether this node holds the plan's lease and may advance the plan at
// the time now, and whether the last call of Sync for the plan failed for another reason
// than a conflict or an expired lease. Calls of Sync during the pause after a failure do not
// change that.
func (o *Owner) HoldsLease(id kqplan.ID, now time.Time) (holds, lastSyncFailed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state, ok := o.plans[id]
	if !ok {
		return false, false
	}
	return state.loaded && now.Before(state.validUntil), state.lastSyncFailed
}

// Sync makes the platform calls that are due for one plan: it reads what is stored unless
// that has been read, renews the lease or acquires it if candidate, and, while this node
// holds it, stores the progress and sets the final state.
func (o *Owner) Sync(ctx context.Context, v kqtracker.PlanSnapshot, candidate bool, now time.Time) error {
	state := o.planState(v.Plan.ID)
	if !v.Progress.Open() || now.Before(state.retryAt) {
		return nil
	}
	err := o.sync(ctx, state, v, candidate, now)
	o.mu.Lock()
	defer o.mu.Unlock()
	state.lastSyncFailed = err != nil && !errors.Is(err, kqstore.ErrConflict) && !errors.Is(err, kqstore.ErrLeaseLapsed)
	if err != nil {
		state.retryAt = now.Add(retryDelay)
		return fmt.Errorf("update rollout %s on the platform: %w", v.Plan.Name, err)
	}
	return nil
}

func (o *Owner) sync(ctx context.Context, state *planState, v kqtracker.PlanSnapshot, candidate bool, now time.Time) error {
	if !o.isLoaded(state) {
		if err := o.load(ctx, o.firstRead(v), state, v.Plan.ID); err != nil {
			return err
		}
	}
	if err := o.maintainLease(ctx, state, v.Plan.ID, candidate, now); err != nil {
		return err
	}
	if holds, _ := o.HoldsLease(v.Plan.ID, now); !holds {
		return nil
	}
	if err := o.saveProgress(ctx, state, v); err != nil {
		return err
	}
	return o.storeFinal(ctx, v, now)
}

func (o *Owner) planState(id kqplan.ID) *planState {
	o.mu.Lock()
	defer o.mu.Unlock()
	state, ok := o.plans[id]
	if !ok {
		state = &planState{}
		o.plans[id] = state
	}
	return state
}

func (o *Owner) isLoaded(state *planState) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return state.loaded
}

// firstRead returns how the node reads a plan that it has just learned of. All nodes read
// each new plan; an owner reads it again once it has the lease.
func (o *Owner) firstRead(v kqtracker.PlanSnapshot) getFunc {
	switch {
	case v.KnownSince.Sub(o.startedAt) >= settledAfter:
		return o.store.GetStale
	case o.initial != nil:
		return o.getInitial
	default:
		return o.store.Get
	}
}

// getInitial returns a key's entry as it was when the process started.
func (o *Owner) getInitial(ctx context.Context, key string) (kqstore.Entry, error) {
	l, err := o.initial.List(ctx, key)
	if err != nil {
		return kqstore.Entry{}, err
	}
	for _, e := range l.Entries {
		if e.Key == key {
			return e, nil
		}
	}
	return kqstore.Entry{}, fmt.Errorf("get initial %s: %w", key, kqstore.ErrNotFound)
}

// load merges the progress and the final state that are stored on the platform.
func (o *Owner) load(ctx context.Context, get getFunc, state *planState, id kqplan.ID) error {
	e, err := get(ctx, keyPrefix+string(id)+"/progress")
	switch {
	case errors.Is(err, kqstore.ErrNotFound):
	case err != nil:
		return fmt.Errorf("read progress: %w", err)
	default:
		if err := cbor.Unmarshal(e.Value, &state.saved); err != nil {
			return fmt.Errorf("decode progress: %w", err)
		}
		state.revision = e.Revision
		o.merger.Join(id, state.saved)
	}
	if err := o.loadFinal(ctx, get, id); err != nil && !errors.Is(err, kqstore.ErrNotFound) {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	state.loaded = true
	return nil
}

// saveProgress stores the progress if it is ahead of what is stored.
func (o *Owner) saveProgress(ctx context.Context, state *planState, v kqtracker.PlanSnapshot) error {
	joined := kqprogress.Join(state.saved, v.Progress)
	if joined == state.saved {
		return nil
	}
	data, err := cbor.Marshal(joined)
	if err != nil {
		return fmt.Errorf("encode progress: %w", err)
	}
	revision, err := o.store.Swap(ctx, keyPrefix+string(v.Plan.ID)+"/progress", state.revision, data, kqstore.NoLease)
	if err != nil {
		// The write may have taken effect, or another owner may have written: reading
		// shows what is stored.
		return errors.Join(fmt.Errorf("store progress: %w", err), o.load(ctx, o.store.Get, state, v.Plan.ID))
	}
	state.saved, state.revision = joined, revision
	return nil
}

// storeFinal writes the final state that is due. Only the first record is accepted; an
// owner that comes second, or whose answer was lost, reads the stored record and merges
// it.
func (o *Owner) storeFinal(ctx context.Context, v kqtracker.PlanSnapshot, now time.Time) error {
	if v.DueFinal == kqprogress.Open {
		return nil
	}
	data, err := cbor.Marshal(record{Final: v.DueFinal, Why: v.Why, By: o.self, At: now})
	if err != nil {
		return fmt.Errorf("encode final state: %w", err)
	}
	_, err = o.store.Swap(ctx, keyPrefix+string(v.Plan.ID)+"/final", kqstore.Absent, data, kqstore.NoLease)
	if err != nil && !errors.Is(err, kqstore.ErrConflict) && !errors.Is(err, kqstore.ErrUnavailable) {
		return fmt.Errorf("store final state: %w", err)
	}
	return o.loadFinal(ctx, o.store.Get, v.Plan.ID)
}

// loadFinal merges the final state that is stored on the platform.
func (o *Owner) loadFinal(ctx context.Context, get getFunc, id kqplan.ID) error {
	e, err := get(ctx, keyPrefix+string(id)+"/final")
	if err != nil {
		return fmt.Errorf("read final state: %w", err)
	}
	var r record
	if err := cbor.Unmarshal(e.Value, &r); err != nil {
		return fmt.Errorf("decode final state: %w", err)
	}
	o.merger.Join(id, kqprogress.Progress{Final: r.Final, Why: r.Why})
	return nil
}
