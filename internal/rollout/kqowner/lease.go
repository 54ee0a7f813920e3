package kqowner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

// keep renews the lease when it is time to, or takes it if it is free.
func (o *Owner) keep(ctx context.Context, h *hold, id kqplan.ID, candidate bool, now time.Time) error {
	if h.lease != kqstore.NoLease {
		if now.Sub(h.renewed) < renewEvery {
			return nil
		}
		err := o.store.Renew(ctx, h.lease)
		if err == nil {
			o.extend(h, now)
			return nil
		}
		if errors.Is(err, kqstore.ErrLeaseLapsed) {
			o.drop(h)
		}
		return fmt.Errorf("renew lease: %w", err)
	}
	if !candidate {
		return nil
	}
	lease, err := o.store.Grant(ctx, TTL)
	if err != nil {
		return fmt.Errorf("take lease: %w", err)
	}
	revision, err := o.store.Swap(ctx, prefix+string(id)+"/owner", kqstore.Absent, []byte(o.self), lease)
	if err != nil {
		return fmt.Errorf("take lease: %w", err)
	}
	h.lease, h.taken = lease, revision
	// Another owner may have come further since this node last read.
	if err := o.readAll(ctx, h, id); err != nil {
		return err
	}
	o.extend(h, now)
	return nil
}

// Leave gives back the lease of a plan, if this node holds it.
func (o *Owner) Leave(ctx context.Context, id kqplan.ID) error {
	o.mu.Lock()
	h, ok := o.plans[id]
	held := ok && h.lease != kqstore.NoLease
	o.mu.Unlock()
	if !held {
		return nil
	}
	o.drop(h)
	if err := o.store.Delete(ctx, prefix+string(id)+"/owner", h.taken); err != nil {
		return fmt.Errorf("give back lease: %w", err)
	}
	return nil
}

func (o *Owner) extend(h *hold, asked time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h.renewed, h.until = asked, asked.Add(trusted)
}

func (o *Owner) drop(h *hold) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h.lease, h.until = kqstore.NoLease, time.Time{}
}
