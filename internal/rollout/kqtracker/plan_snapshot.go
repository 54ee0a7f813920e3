package kqtracker

import (
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqledger"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqstep"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// PlanSnapshot is a copy of a plan's state for the loops that evaluate the plan, report on
// it and, on its owner, step it and store its progress.
type PlanSnapshot struct {
	Plan     kqplan.Plan
	Progress kqprogress.Progress
	// DueFinal is the final state that is due and not yet stored on the platform.
	DueFinal kqprogress.Final
	// Why is the reason for the rollback if there was one, else for the last decision.
	Why string
	// KnownSince is when this node first received the plan.
	KnownSince time.Time
	// Owner is the node that last announced itself as the plan's owner, at OwnerSeen.
	Owner     kqname.Node
	OwnerSeen time.Time
	// Removed is set if the plan is no longer in the document.
	Removed bool
}

// PlanSnapshots returns every plan that has started, was rolled back or was cancelled.
func (t *Tracker) PlanSnapshots(now time.Time) []PlanSnapshot {
	var list []PlanSnapshot
	for _, ps := range t.allPlanStates() {
		ps.mu.Lock()
		if ps.hasStarted(now) || ps.progress.RolledBack || ps.plan.Cancelled {
			v := PlanSnapshot{Plan: ps.plan, Progress: ps.progress, KnownSince: ps.knownSince, Owner: ps.owner, OwnerSeen: ps.ownerSeen, Why: ps.lastDecision.Why, Removed: !ps.removedAt.IsZero()}
			if ps.progress.Open() {
				v.DueFinal = ps.dueFinal
			}
			if ps.progress.RolledBack {
				v.Why = ps.progress.Why
			}
			list = append(list, v)
		}
		ps.mu.Unlock()
	}
	return list
}

// Report returns this gate's own evidence for a plan, at most once a tick. It returns
// false if there is nothing new.
func (t *Tracker) Report(id kqplan.ID, now time.Time) (kqledger.Report, bool) {
	ps, ok := t.planState(id)
	if !ok || !ps.beginReport(now) {
		return kqledger.Report{}, false
	}
	return ps.ledger.Report()
}

// Event returns a sentence about the plan's last change, once for each change.
func (t *Tracker) Event(id kqplan.ID) (string, bool) {
	ps, ok := t.planState(id)
	if !ok {
		return "", false
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	text := ps.event()
	if text == ps.lastEvent {
		return "", false
	}
	ps.lastEvent = text
	return text, text != ""
}

func (ps *planState) event() string {
	p := ps.progress
	head := fmt.Sprintf("Rollout %s of %s from %s to %s", ps.plan.Name, ps.plan.Service, ps.plan.From, ps.plan.To)
	switch {
	case !p.Open():
		return fmt.Sprintf("%s is %s: %s.", head, p.Final, p.Why)
	case p.RolledBack:
		return fmt.Sprintf("%s is rolled back, the new version gets no traffic: %s.", head, p.Why)
	case p.Step > 0:
		return fmt.Sprintf("%s is at step %d, share %.2f.", head, p.Step, kqstep.Share(ps.plan, p.Step))
	default:
		return ""
	}
}

// Progress returns the progress of a plan.
func (t *Tracker) Progress(id kqplan.ID) (kqprogress.Progress, bool) {
	ps, ok := t.planState(id)
	if !ok {
		return kqprogress.Progress{}, false
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.progress, true
}
