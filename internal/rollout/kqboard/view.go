package kqboard

import (
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqledger"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqstep"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// View is the state of a plan that the loop of its owner needs.
type View struct {
	Plan     kqplan.Plan
	Progress kqprogress.Progress
	// Wish is the final state that is due and not yet stored on the platform.
	Wish kqprogress.Final
	// Why is the reason for Wish.
	Why string
	// Seen is when this node first received the plan.
	Seen time.Time
	// Owner is the node that last announced itself as the plan's owner, at Heard.
	Owner kqname.Node
	Heard time.Time
	// Gone is set if the plan is no longer in the document.
	Gone bool
}

// Views returns every plan that has started, was rolled back or was cancelled.
func (b *Board) Views(now time.Time) []View {
	var list []View
	for _, e := range b.allEntries() {
		e.mu.Lock()
		if e.hasStarted(now) || e.progress.RolledBack || e.plan.Cancelled {
			v := View{Plan: e.plan, Progress: e.progress, Seen: e.knownSince, Owner: e.owner, Heard: e.ownerSeen, Why: e.lastDecision.Why, Gone: !e.removedAt.IsZero()}
			if e.progress.Open() {
				v.Wish = e.dueFinal
			}
			if e.progress.RolledBack {
				v.Why = e.progress.Why
			}
			list = append(list, v)
		}
		e.mu.Unlock()
	}
	return list
}

// Report returns this gate's own evidence for a plan, at most once a tick. It returns
// false if there is nothing new.
func (b *Board) Report(id kqplan.ID, now time.Time) (kqledger.Report, bool) {
	e, ok := b.entry(id)
	if !ok || !e.isReportDue(now) {
		return kqledger.Report{}, false
	}
	return e.ledger.Report()
}

// Event returns a sentence about the plan's last change, once for each change.
func (b *Board) Event(id kqplan.ID) (string, bool) {
	e, ok := b.entry(id)
	if !ok {
		return "", false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	text := e.event()
	if text == e.lastEvent {
		return "", false
	}
	e.lastEvent = text
	return text, text != ""
}

func (e *entry) event() string {
	p := e.progress
	head := fmt.Sprintf("Move %s of %s from %s to %s", e.plan.Name, e.plan.Service, e.plan.From, e.plan.To)
	switch {
	case !p.Open():
		return fmt.Sprintf("%s is %s: %s.", head, p.Final, p.Why)
	case p.RolledBack:
		return fmt.Sprintf("%s gets no traffic any more: %s.", head, p.Why)
	case p.Step > 0:
		return fmt.Sprintf("%s is at step %d, share %.2f.", head, p.Step, kqstep.Share(e.plan, p.Step))
	default:
		return ""
	}
}

// Progress returns the progress of a plan.
func (b *Board) Progress(id kqplan.ID) (kqprogress.Progress, bool) {
	e, ok := b.entry(id)
	if !ok {
		return kqprogress.Progress{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.progress, true
}
