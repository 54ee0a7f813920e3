package kqtracker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqstep"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// Pending rollouts have not started yet.
	Pending State = "pending"
	// Running rollouts have started or were rolled back before their start, and have no
	// final state yet.
	Running State = "running"
	// Done rollouts have moved all traffic to the new version.
	Done State = "done"
	// FinalRollback rollouts were rolled back: all traffic goes to the old version.
	FinalRollback State = "taken back"
)

type (
	// State is the state of a rollout as shown to operators.
	State string

	// Evidence sums up the calls on which a rollout is evaluated.
	Evidence struct {
		OldCalls  uint64 `json:"old_calls"`
		OldFailed uint64 `json:"old_failed"`
		NewCalls  uint64 `json:"new_calls"`
		NewFailed uint64 `json:"new_failed"`
		// Nats is the evidence against the new version, since the start or recent,
		// whichever is stronger, as a natural logarithm of odds. Metric and Where name
		// the metric with the most evidence and the calls that it comes from.
		Nats   float64 `json:"nats"`
		Metric string  `json:"metric"`
		Where  string  `json:"where"`
	}

	// Status is a rollout as shown to operators.
	Status struct {
		Rollout  kqname.Rollout         `json:"rollout"`
		Service  kqname.Service         `json:"service"`
		From     kqname.UpstreamVersion `json:"from"`
		To       kqname.UpstreamVersion `json:"to"`
		Policy   kqname.Policy          `json:"policy"`
		Start    time.Time              `json:"start"`
		Deadline time.Time              `json:"deadline"`
		State    State                  `json:"state"`
		Step     int                    `json:"step"`
		// Share is the share of traffic, from 0 to 1, that is scheduled for the new
		// version. What it gets also depends on the upstreams, see package kqshare.
		Share float64 `json:"share"`
		// Why is the reason for the current state.
		Why      string      `json:"why"`
		Evidence Evidence    `json:"evidence"`
		Owner    kqname.Node `json:"owner,omitempty"`
	}
)

// Statuses returns all rollouts on this node, ordered by start and name.
func (t *Tracker) Statuses(now time.Time) []Status {
	list := []Status{}
	for _, ps := range t.allPlanStates() {
		list = append(list, ps.status(now))
	}
	slices.SortFunc(list, Compare)
	return list
}

// Status returns a rollout as shown to operators.
func (t *Tracker) Status(id kqplan.ID, now time.Time) (Status, bool) {
	ps, ok := t.planState(id)
	if !ok {
		return Status{}, false
	}
	return ps.status(now), true
}

// Compare orders rollouts by start, then by name.
func Compare(a, b Status) int {
	return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Rollout, b.Rollout))
}

func (ps *planState) status(now time.Time) Status {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p := ps.plan
	s := Status{
		Rollout: p.Name, Service: p.Service, From: p.From, To: p.To, Policy: p.Policy, Start: p.Start,
		Deadline: p.Deadline, State: Running, Step: ps.progress.Step, Why: ps.lastDecision.Why, Evidence: ps.totals, Owner: ps.owner,
	}
	s.Evidence.Metric, s.Evidence.Where = ps.finding.WorstMetric, ps.finding.Where
	if nats := max(ps.finding.Total, ps.finding.Recent); !math.IsInf(nats, 0) {
		s.Evidence.Nats = nats
	}
	switch {
	case ps.progress.Final == kqprogress.Done:
		s.State, s.Share, s.Why = Done, 1, ps.progress.Why
	case ps.progress.Final == kqprogress.FinalRollback:
		s.State, s.Why = FinalRollback, ps.progress.Why
	case ps.progress.RolledBack:
		s.Why = "no traffic any more, waiting for the platform to record it: " + ps.progress.Why
	case !ps.hasStarted(now):
		s.State = Pending
	default:
		s.Share = kqstep.Share(p, ps.progress.Step)
	}
	return s
}

func (v *Evidence) add(p *kqevidence.Pair) {
	v.OldCalls += uint64(p.Old.Calls)
	v.OldFailed += uint64(p.Old.Failed)
	v.NewCalls += uint64(p.New.Calls)
	v.NewFailed += uint64(p.New.Failed)
}
