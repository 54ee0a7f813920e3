package kqowner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

// maintainLease renews the lease when that is due, or acquires it if candidate and the
// lease is free.
func (o *Owner) maintainLease(ctx context.Context, state *planState, id kqplan.ID, candidate bool, now time.Time) error {
	if state.lease != kqstore.NoLease {
		if now.Sub(state.renewedAt) < renewInterval {
			return nil
		}
		err := o.store.Renew(ctx, state.lease)
		if err == nil {
			o.extendLease(state, now)
			return nil
		}
		if errors.Is(err, kqstore.ErrLeaseLapsed) {
			o.dropLease(state)
		}
		return fmt.Errorf("renew lease: %w", err)
	}
	if !candidate {
		return nil
	}
	lease, err := o.store.Grant(ctx, LeaseTTL)
	if err != nil {
		return fmt.Errorf("grant lease: %w", err)
	}
	revision, err := o.store.Swap(ctx, keyPrefix+string(id)+"/owner", kqstore.Absent, []byte(o.self), lease)
	if err != nil {
		return fmt.Errorf("acquire lease: %w", err)
	}
	state.lease, state.ownerRevision = lease, revision
	// Another owner may have made progress since this node last read it.
	if err := o.load(ctx, o.store.Get, state, id); err != nil {
		return err
	}
	o.extendLease(state, now)
	return nil
}

// Release releases the lease of a plan if this node holds it.
func (o *Owner) Release(ctx context.Context, id kqplan.ID) error {
	o.mu.Lock()
	state, ok := o.plans[id]
	held := ok && state.lease != kqstore.NoLease
	o.mu.Unlock()
	if !held {
		return nil
	}
	o.dropLease(state)
	if err := o.store.Delete(ctx, keyPrefix+string(id)+"/owner", state.ownerRevision); err != nil {
		return fmt.Errorf("release lease: %w", err)
	}
	return nil
}

// extendLease records that a grant or renewal requested at requestedAt has succeeded.
func (o *Owner) extendLease(state *planState, requestedAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state.renewedAt, state.validUntil = requestedAt, requestedAt.Add(trustedFor)
}

// dropLease forgets the lease, without a call to the platform.
func (o *Owner) dropLease(state *planState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state.lease, state.validUntil = kqstore.NoLease, time.Time{}
}
