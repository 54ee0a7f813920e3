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
	if _, err := o.store.Swap(ctx, prefix+string(id)+"/owner", kqstore.Absent, []byte(o.self), lease); err != nil {
		return fmt.Errorf("take lease: %w", err)
	}
	h.lease = lease
	// Another owner may have come further since this node last read.
	if err := o.readAll(ctx, h, id); err != nil {
		return err
	}
	o.extend(h, now)
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
