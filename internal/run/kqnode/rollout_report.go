package kqnode

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqtracker"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

// reportingNodes is how many nodes of a service, besides the rollout's owner, report the
// final state of an order, so that it is reported even if one of them cannot.
const reportingNodes = 3

// reportOrderState writes the state of an order, which is a rollout with a duration instead
// of fixed times, to the store, on platforms where operators read it there. Only the owner
// reports an order as running. A final state is reported only once it is settled, so that
// all nodes report the same one. A rollout is reported as done only once no call is in
// flight at its old version or the time to wait for such calls is over, since operators then
// stop the old upstreams. An order that was removed from the document is not reported.
func (r *rollouts) reportOrderState(ctx context.Context, v kqtracker.PlanSnapshot, rank int, now time.Time) {
	if r.node.adapter.Reports == nil || v.Plan.Duration == 0 || v.Removed {
		return
	}
	state := kqtracker.Running
	switch v.Progress.Final {
	case kqprogress.Done:
		state = kqtracker.Done
	case kqprogress.FinalRollback:
		state = kqtracker.FinalRollback
	}
	owner, _ := r.owner.HoldsLease(v.Plan.ID, now)
	if r.reportedStates[v.Plan.ID] == state || rank < 0 || !owner && (state == kqtracker.Running || rank >= reportingNodes) {
		return
	}
	if state == kqtracker.Done && !r.oldVersionDrains.isOver(v.Plan, now) {
		return
	}
	if err := r.writeOrderState(ctx, v, state); err != nil {
		r.node.logger.Part("rollout").WithError(err).Debug("Order state was not reported.")
		return
	}
	r.reportedStates[v.Plan.ID] = state
	r.node.logger.Part("rollout").Infof("Reported that order %s of %s is %s.", v.Plan.Name, v.Plan.Service, state)
}

func (r *rollouts) writeOrderState(ctx context.Context, v kqtracker.PlanSnapshot, state kqtracker.State) error {
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
