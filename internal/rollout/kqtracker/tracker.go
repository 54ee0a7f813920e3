package kqtracker

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqledger"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqstep"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	removedReason = "an operator removed or replaced the plan"
	// removedRetention is how long a plan that was removed from the document is
	// kept, so that its final state can still be stored and read.
	removedRetention = time.Hour
)

type (
	// Directory returns the upstreams of a service that accept new calls.
	Directory interface {
		Upstreams(service kqname.Service) []kqmember.Candidate
	}

	// Tracker is a node's view of the rollouts. It is safe for concurrent use.
	Tracker struct {
		self      kqledger.Source
		directory Directory

		mu         sync.RWMutex
		planStates map[kqplan.ID]*planState
		services   map[kqname.Service]service
	}

	// service is one service of the configuration, with the states of its plans in the
	// order of their starts.
	service struct {
		version    kqname.UpstreamVersion
		planStates []*planState
		// rolledBackVersions are the new versions of ordered rollouts (those with a
		// duration) that were removed from the document and did not end as done.
		// Their upstreams may still be running.
		rolledBackVersions map[kqname.UpstreamVersion]bool
	}
)

// New returns a Tracker without rollouts.
func New(self kqledger.Source, directory Directory) *Tracker {
	return &Tracker{
		self: self, directory: directory,
		planStates: make(map[kqplan.ID]*planState), services: make(map[kqname.Service]service),
	}
}

// Update applies the services of the current configuration. A plan that was removed
// from its service, or replaced, is rolled back unless it has ended. The plans of a service
// that is not in all stay as they are.
func (t *Tracker) Update(all map[kqname.Service]kqresource.Service, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range all {
		next := service{version: s.Service.Version, rolledBackVersions: maps.Clone(t.services[name].rolledBackVersions)}
		for _, p := range kqplan.FromService(s) {
			next.planStates = append(next.planStates, t.planStateFor(p, now))
		}
		slices.SortStableFunc(next.planStates, func(x, y *planState) int {
			return cmp.Or(x.plan.Start.Compare(y.plan.Start), cmp.Compare(x.plan.Name, y.plan.Name))
		})
		for _, ps := range t.services[name].planStates {
			if !slices.Contains(next.planStates, ps) {
				ps.remove(now)
				next.addRolledBack(ps)
			}
		}
		for _, ps := range next.planStates {
			delete(next.rolledBackVersions, ps.plan.To)
		}
		t.services[name] = next
	}
	for id, ps := range t.planStates {
		if ps.isExpired(now) {
			delete(t.planStates, id)
		}
	}
}

// planStateFor returns the state of a plan that is in the document, and creates it if the
// plan is new. A known plan with fixed times is replaced, since it may have been cancelled. A
// known ordered plan is kept with its start; only its cancellation is adopted.
func (t *Tracker) planStateFor(p kqplan.Plan, now time.Time) *planState {
	ps, ok := t.planStates[p.ID]
	if !ok {
		ps = newPlanState(p.Begin(now), t.self, now)
		t.planStates[p.ID] = ps
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if p.Duration == 0 {
		ps.plan = p
	}
	ps.plan.Cancelled = p.Cancelled
	ps.removedAt = time.Time{}
	return ps
}

// addRolledBack records the new version of an ordered rollout that was removed, unless the
// rollout ended as done.
func (s *service) addRolledBack(ps *planState) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.plan.Duration == 0 || ps.progress.Final == kqprogress.Done {
		return
	}
	if s.rolledBackVersions == nil {
		s.rolledBackVersions = make(map[kqname.UpstreamVersion]bool)
	}
	s.rolledBackVersions[ps.plan.To] = true
}

func (ps *planState) remove(now time.Time) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.removedAt = now
	if ps.progress.Open() && !ps.progress.RolledBack {
		ps.rollback(removedReason)
	}
}

// isExpired reports whether the plan was removed long enough ago to be deleted. Nodes
// run for months, and each plan holds its evidence.
func (ps *planState) isExpired(now time.Time) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return !ps.removedAt.IsZero() && now.Sub(ps.removedAt) >= removedRetention
}

// Evaluate evaluates the evidence collected for a plan. It is only for nodes that receive
// the reports of all gates: with the reports of its own gate alone, a node has the calls
// of only one of the two versions.
func (t *Tracker) Evaluate(id kqplan.ID, now time.Time) {
	ps, ok := t.planState(id)
	if !ok {
		return
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.hasStarted(now) {
		ps.evaluate(now)
	}
}

// Step decides on a plan's next step and applies the decision.
func (t *Tracker) Step(id kqplan.ID, now time.Time) kqstep.Decision {
	ps, ok := t.planState(id)
	if !ok {
		return kqstep.Decision{Action: kqstep.Hold, Why: "the plan is not known"}
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.beginCollecting(now)
	s := kqstep.Inputs{Plan: ps.plan, Progress: ps.progress, Finding: ps.finding, CallsBeforeStep: ps.callsBeforeStep, BusySlots: ps.busySlots}
	for _, c := range t.directory.Upstreams(ps.plan.Service) {
		switch {
		case ps.plan.IsOld(c.Version):
			s.OldSlots += c.Slots
		case c.Version == ps.plan.To && ps.isWarm(c, now):
			s.NewSlots += c.Slots
		case c.Version == ps.plan.To:
			s.ColdSlots += c.Slots
		}
	}
	ps.totalSlots = s.OldSlots + s.NewSlots + s.ColdSlots
	d := kqstep.Decide(now, s)
	if ps.isAwaitingEarlierCounts(now) && (d.Action == kqstep.Advance || d.Action == kqstep.Done) {
		// A node that has just begun to collect reports may not have received the
		// evidence against the version yet.
		d = kqstep.Decision{Action: kqstep.Hold, Why: "what gates have counted is being collected"}
	}
	ps.apply(d)
	return d
}

// isWarm reports whether an upstream's cold start is over. Its announced end is by the clock of
// the upstream's node. If that is ahead, the cold start ends at the latest when its announced
// duration has passed since this node saw the upstream; it would count half for hours
// otherwise. It requires ps.mu.
func (ps *planState) isWarm(c kqmember.Candidate, now time.Time) bool {
	warm := ps.plan.WarmAt(c.FirstAnnounced, c.WarmFrom)
	seen, ok := ps.newUpstreams[c.Node]
	if !ok || !seen.announced.Equal(c.FirstAnnounced) {
		seen = seenUpstream{announced: c.FirstAnnounced, at: now}
		ps.newUpstreams[c.Node] = seen
	}
	return !now.Before(warm) || now.Sub(seen.at) >= warm.Sub(c.FirstAnnounced)
}

// Join merges progress received from a peer or the platform. It reports whether the
// node's own progress changed and whether the sender's was stale.
func (t *Tracker) Join(id kqplan.ID, p kqprogress.Progress) (changed, senderStale bool) {
	ps, ok := t.planState(id)
	if !ok {
		return false, false
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	joined := kqprogress.Join(ps.progress, p)
	changed, senderStale = joined != ps.progress, joined != p
	ps.progress = joined
	if joined.RolledBack {
		ps.dueFinal = kqprogress.FinalRollback
	}
	return changed, senderStale
}

// Merge adds another gate's report.
func (t *Tracker) Merge(id kqplan.ID, r kqledger.Report) {
	if ps, ok := t.planState(id); ok {
		ps.ledger.Merge(r)
	}
}

// SetOwner records that a node announced itself as the owner of the plan.
func (t *Tracker) SetOwner(id kqplan.ID, owner kqname.Node, now time.Time) {
	if ps, ok := t.planState(id); ok {
		ps.mu.Lock()
		defer ps.mu.Unlock()
		ps.owner, ps.ownerSeen = owner, now
	}
}

func (t *Tracker) planState(id kqplan.ID) (*planState, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	ps, ok := t.planStates[id]
	return ps, ok
}

func (t *Tracker) allPlanStates() []*planState {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]*planState, 0, len(t.planStates))
	for _, ps := range t.planStates {
		list = append(list, ps)
	}
	return list
}
