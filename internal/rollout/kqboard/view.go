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

// View is a plan as its owner's loop needs it.
type View struct {
	Plan     kqplan.Plan
	Progress kqprogress.Progress
	// Wish is the final state that is due and not yet on the platform.
	Wish kqprogress.Final
	// Why tells what the wish rests on.
	Why string
	// Seen is when this node first knew the plan.
	Seen time.Time
	// Owner last said to own the plan, at Heard.
	Owner kqname.Node
	Heard time.Time
	// Gone tells that the plan is no longer in the document.
	Gone bool
}

// Views returns every plan that has started.
func (b *Board) Views(now time.Time) []View {
	var list []View
	for _, e := range b.all() {
		e.mu.Lock()
		if e.started(now) || e.progress.RolledBack || e.plan.Cancelled {
			v := View{Plan: e.plan, Progress: e.progress, Seen: e.seen, Owner: e.owner, Heard: e.heard, Why: e.last.Why, Gone: !e.gone.IsZero()}
			if e.progress.Open() {
				v.Wish = e.wish
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

// Report returns this gate's own evidence for a plan, at most once a tick, and
// false where there is nothing new.
func (b *Board) Report(id kqplan.ID, now time.Time) (kqledger.Report, bool) {
	e, ok := b.entry(id)
	if !ok || !e.due(now) {
		return kqledger.Report{}, false
	}
	return e.ledger.Report()
}

// Event returns a sentence about the plan's last change, once.
func (b *Board) Event(id kqplan.ID) (string, bool) {
	e, ok := b.entry(id)
	if !ok {
		return "", false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	text := e.event()
	if text == e.told {
		return "", false
	}
	e.told = text
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

// Progress returns how far a plan has come.
func (b *Board) Progress(id kqplan.ID) (kqprogress.Progress, bool) {
	e, ok := b.entry(id)
	if !ok {
		return kqprogress.Progress{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.progress, true
}
