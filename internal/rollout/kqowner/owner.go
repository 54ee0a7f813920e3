package kqowner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// TTL is how long an owner's lease lasts unless it is renewed.
	TTL = 3 * time.Second
	// renewEvery leaves time for two more tries before the lease lapses.
	renewEvery = TTL / 3
	// trusted is how long a holder acts on a lease after it asked for it. It
	// is counted from before the call, by the holder's own clock, so that a
	// holder that was paused stops before the platform lets the lease lapse.
	trusted = TTL * 2 / 3
	// retryEvery is the pause after a call that failed: a platform that comes
	// back must not meet every node at once, over and over.
	retryEvery = time.Second
	prefix     = "kumquatgw/rollouts/"
)

type (
	// Store is what the owner uses of the platform's service.
	Store interface {
		Get(ctx context.Context, key string) (kqstore.Entry, error)
		Swap(ctx context.Context, key string, expected kqstore.Revision, value []byte, lease kqstore.Lease) (kqstore.Revision, error)
		Delete(ctx context.Context, key string, expected kqstore.Revision) error
		Grant(ctx context.Context, ttl time.Duration) (kqstore.Lease, error)
		Renew(ctx context.Context, lease kqstore.Lease) error
	}

	// Board is what the owner reads of the node's rollouts and tells them.
	Board interface {
		Join(id kqplan.ID, p kqprogress.Progress) (news, stale bool)
	}

	// Owner works on the rollouts that this node may own. Work and Holds are
	// safe for concurrent use.
	Owner struct {
		self  kqname.Node
		store Store
		board Board

		mu    sync.Mutex
		plans map[kqplan.ID]*hold
	}

	hold struct {
		read  bool
		down  bool
		pause time.Time
		lease kqstore.Lease
		// taken is the revision at which the owner's key was written.
		taken    kqstore.Revision
		renewed  time.Time
		until    time.Time
		saved    kqprogress.Progress
		revision kqstore.Revision
	}

	// record is a final state as the platform holds it.
	record struct {
		Final kqprogress.Final `cbor:"1,keyasint"`
		Why   string           `cbor:"2,keyasint"`
		By    kqname.Node      `cbor:"3,keyasint"`
		At    time.Time        `cbor:"4,keyasint"`
	}
)

// New returns an owner that holds nothing.
func New(self kqname.Node, store Store, board Board) *Owner {
	return &Owner{self: self, store: store, board: board, plans: make(map[kqplan.ID]*hold)}
}

// Holds reports whether this node may step the plan at the time now, and
// whether the platform failed to answer about it when last asked.
func (o *Owner) Holds(id kqplan.ID, now time.Time) (holds, down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h, ok := o.plans[id]
	if !ok {
		return false, false
	}
	return h.read && now.Before(h.until), h.down
}

// Work does what is due on the platform for one plan: it reads what was
// stored, takes or renews the lease if candidate, stores progress and settles
// the final state.
func (o *Owner) Work(ctx context.Context, v kqboard.View, candidate bool, now time.Time) error {
	h := o.hold(v.Plan.ID)
	if !v.Progress.Open() || now.Before(h.pause) {
		return nil
	}
	err := o.work(ctx, h, v, candidate, now)
	o.mu.Lock()
	defer o.mu.Unlock()
	h.down = err != nil && !errors.Is(err, kqstore.ErrConflict) && !errors.Is(err, kqstore.ErrLeaseLapsed)
	if err != nil {
		h.pause = now.Add(retryEvery)
		return fmt.Errorf("work on rollout %s: %w", v.Plan.Name, err)
	}
	return nil
}

func (o *Owner) work(ctx context.Context, h *hold, v kqboard.View, candidate bool, now time.Time) error {
	if !o.isRead(h) {
		if err := o.readAll(ctx, h, v.Plan.ID); err != nil {
			return err
		}
	}
	if err := o.keep(ctx, h, v.Plan.ID, candidate, now); err != nil {
		return err
	}
	if holds, _ := o.Holds(v.Plan.ID, now); !holds {
		return nil
	}
	if err := o.save(ctx, h, v); err != nil {
		return err
	}
	return o.settle(ctx, v, now)
}

func (o *Owner) hold(id kqplan.ID) *hold {
	o.mu.Lock()
	defer o.mu.Unlock()
	h, ok := o.plans[id]
	if !ok {
		h = &hold{}
		o.plans[id] = h
	}
	return h
}

func (o *Owner) isRead(h *hold) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return h.read
}

// readAll takes in the progress and the final state that the platform holds.
func (o *Owner) readAll(ctx context.Context, h *hold, id kqplan.ID) error {
	e, err := o.store.Get(ctx, prefix+string(id)+"/progress")
	switch {
	case errors.Is(err, kqstore.ErrNotFound):
	case err != nil:
		return fmt.Errorf("read progress: %w", err)
	default:
		if err := cbor.Unmarshal(e.Value, &h.saved); err != nil {
			return fmt.Errorf("decode progress: %w", err)
		}
		h.revision = e.Revision
		o.board.Join(id, h.saved)
	}
	if err := o.adopt(ctx, id); err != nil && !errors.Is(err, kqstore.ErrNotFound) {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	h.read = true
	return nil
}

// save stores the progress where it is more than what is stored.
func (o *Owner) save(ctx context.Context, h *hold, v kqboard.View) error {
	joined := kqprogress.Join(h.saved, v.Progress)
	if joined == h.saved {
		return nil
	}
	data, err := cbor.Marshal(joined)
	if err != nil {
		return fmt.Errorf("encode progress: %w", err)
	}
	revision, err := o.store.Swap(ctx, prefix+string(v.Plan.ID)+"/progress", h.revision, data, kqstore.NoLease)
	if err != nil {
		// Whether it took effect or another owner wrote, reading tells.
		return errors.Join(fmt.Errorf("store progress: %w", err), o.readAll(ctx, h, v.Plan.ID))
	}
	h.saved, h.revision = joined, revision
	return nil
}

// settle writes the final state that is due. Only the first record is let in;
// whoever comes second, or lost the answer, reads the record and adopts it.
func (o *Owner) settle(ctx context.Context, v kqboard.View, now time.Time) error {
	if v.Wish == kqprogress.Open {
		return nil
	}
	data, err := cbor.Marshal(record{Final: v.Wish, Why: v.Why, By: o.self, At: now})
	if err != nil {
		return fmt.Errorf("encode final state: %w", err)
	}
	_, err = o.store.Swap(ctx, prefix+string(v.Plan.ID)+"/final", kqstore.Absent, data, kqstore.NoLease)
	if err != nil && !errors.Is(err, kqstore.ErrConflict) && !errors.Is(err, kqstore.ErrUnavailable) {
		return fmt.Errorf("store final state: %w", err)
	}
	return o.adopt(ctx, v.Plan.ID)
}

func (o *Owner) adopt(ctx context.Context, id kqplan.ID) error {
	e, err := o.store.Get(ctx, prefix+string(id)+"/final")
	if err != nil {
		return fmt.Errorf("read final state: %w", err)
	}
	var r record
	if err := cbor.Unmarshal(e.Value, &r); err != nil {
		return fmt.Errorf("decode final state: %w", err)
	}
	o.board.Join(id, kqprogress.Progress{Final: r.Final, Why: r.Why})
	return nil
}
