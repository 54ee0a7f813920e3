package kqnode

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

// reporters is how many nodes of a service look whether operators have been told
// of an order. The first tells; the others do in its place if it cannot.
const reporters = 3

// tellOperators writes for operators how an order stands, where the platform
// has them read it from the store. A final state is told only once it is
// settled, so that all who tell it tell the same, and that a rollout is done once
// nothing is at work at its old version: operators then stop the old upstreams.
func (r *rollouts) tellOperators(ctx context.Context, v kqboard.View, rank int, now time.Time) {
	if r.node.adapter.Reports == nil || v.Plan.Duration == 0 || v.Gone {
		return
	}
	state := kqboard.Running
	switch v.Progress.Final {
	case kqprogress.Done:
		state = kqboard.Done
	case kqprogress.TakenBack:
		state = kqboard.TakenBack
	}
	owner, _ := r.owner.Holds(v.Plan.ID, now)
	if r.reported[v.Plan.ID] == state || rank < 0 || !owner && (state == kqboard.Running || rank >= reporters) {
		return
	}
	if state == kqboard.Done && !r.settling.over(v.Plan, now) {
		return
	}
	if err := r.writeReport(ctx, v, state); err != nil {
		r.node.logger.Part("rollout").WithError(err).Debug("Operators were not told.")
		return
	}
	r.reported[v.Plan.ID] = state
	r.node.logger.Part("rollout").Infof("Told operators that order %s of %s is %s.", v.Plan.Name, v.Plan.Service, state)
}

func (r *rollouts) writeReport(ctx context.Context, v kqboard.View, state kqboard.State) error {
	key, value, err := r.node.adapter.Reports.Report(v.Plan.Service, v.Plan.To, state)
	if err != nil {
		return fmt.Errorf("report order %s: %w", v.Plan.Name, err)
	}
	revision := kqstore.Absent
	e, err := r.node.store.Get(ctx, key)
	switch {
	case errors.Is(err, kqstore.ErrNotFound):
	case err != nil:
		return fmt.Errorf("report order %s: %w", v.Plan.Name, err)
	case bytes.Equal(e.Value, value):
		return nil
	default:
		revision = e.Revision
	}
	if _, err := r.node.store.Swap(ctx, key, revision, value, kqstore.NoLease); err != nil {
		return fmt.Errorf("report order %s: %w", v.Plan.Name, err)
	}
	return nil
}
