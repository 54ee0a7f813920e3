package kqboard

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

	// Board is a node's view of the rollouts. It is safe for concurrent use.
	Board struct {
		self      kqledger.Source
		directory Directory

		mu       sync.RWMutex
		entries  map[kqplan.ID]*entry
		services map[kqname.Service]service
	}

	service struct {
		version kqname.UpstreamVersion
		entries []*entry
		// rolledBackVersions are the new versions of ordered rollouts (those with a
		// duration) that were removed from the document and did not end as done.
		// Their upstreams may still be running.
		rolledBackVersions map[kqname.UpstreamVersion]bool
	}
)

// New returns a board without rollouts.
func New(self kqledger.Source, directory Directory) *Board {
	return &Board{
		self: self, directory: directory,
		entries: make(map[kqplan.ID]*entry), services: make(map[kqname.Service]service),
	}
}

// Adopt applies the services of the current configuration. A plan that was removed
// from its service, or replaced, is rolled back unless it has ended.
func (b *Board) Adopt(all map[kqname.Service]kqresource.Service, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, s := range all {
		next := service{version: s.Service.Version, rolledBackVersions: maps.Clone(b.services[name].rolledBackVersions)}
		for _, p := range kqplan.FromService(s) {
			next.entries = append(next.entries, b.entryFor(p, now))
		}
		slices.SortStableFunc(next.entries, func(x, y *entry) int {
			return cmp.Or(x.plan.Start.Compare(y.plan.Start), cmp.Compare(x.plan.Name, y.plan.Name))
		})
		for _, e := range b.services[name].entries {
			if !slices.Contains(next.entries, e) {
				e.remove(now)
				next.addRolledBack(e)
			}
		}
		for _, e := range next.entries {
			delete(next.rolledBackVersions, e.plan.To)
		}
		b.services[name] = next
	}
	for id, e := range b.entries {
		if e.isExpired(now) {
			delete(b.entries, id)
		}
	}
}

// entryFor returns the entry of a plan and creates it if the plan is new.
func (b *Board) entryFor(p kqplan.Plan, now time.Time) *entry {
	e, ok := b.entries[p.ID]
	if !ok {
		e = newEntry(p.Begin(now), b.self, now)
		b.entries[p.ID] = e
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.Duration == 0 {
		e.plan = p
	}
	e.removedAt = time.Time{}
	return e
}

// addRolledBack records the new version of an ordered rollout that was removed, unless the
// rollout ended as done.
func (s *service) addRolledBack(e *entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.plan.Duration == 0 || e.progress.Final == kqprogress.Done {
		return
	}
	if s.rolledBackVersions == nil {
		s.rolledBackVersions = make(map[kqname.UpstreamVersion]bool)
	}
	s.rolledBackVersions[e.plan.To] = true
}

func (e *entry) remove(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removedAt = now
	if e.progress.Open() && !e.progress.RolledBack {
		e.rollback(removedReason)
	}
}

// isExpired reports whether the plan was removed long enough ago to be deleted. Nodes
// run for months, and each plan holds its evidence.
func (e *entry) isExpired(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.removedAt.IsZero() && now.Sub(e.removedAt) >= removedRetention
}

// Weigh evaluates the evidence collected for a plan. It is only for nodes that receive
// the reports of all gates: with the reports of its own gate alone, a node has the calls
// of only one of the two versions.
func (b *Board) Weigh(id kqplan.ID, now time.Time) {
	e, ok := b.entry(id)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hasStarted(now) {
		e.evaluate(now)
	}
}

// Step decides on a plan's next step and applies the decision.
func (b *Board) Step(id kqplan.ID, now time.Time) kqstep.Decision {
	e, ok := b.entry(id)
	if !ok {
		return kqstep.Decision{Action: kqstep.Hold, Why: "the plan is not known"}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := kqstep.State{Plan: e.plan, Progress: e.progress, Finding: e.finding, BusySlots: e.busySlots}
	for _, c := range b.directory.Upstreams(e.plan.Service) {
		switch {
		case e.plan.Old(c.Version):
			s.OldSlots += c.Slots
		case c.Version == e.plan.To && !now.Before(e.plan.WarmAt(c.Started, c.Warm)):
			s.NewSlots += c.Slots
		case c.Version == e.plan.To:
			s.ColdSlots += c.Slots
		}
	}
	e.totalSlots = s.OldSlots + s.NewSlots + s.ColdSlots
	d := kqstep.Decide(now, s)
	if e.isCollecting(now) && (d.Action == kqstep.Advance || d.Action == kqstep.Done) {
		// A node that has just become the owner may not have received the evidence
		// against the version yet.
		d = kqstep.Decision{Action: kqstep.Hold, Why: "what gates have counted is being collected"}
	}
	e.apply(d)
	return d
}

// Join merges progress received from a peer or the platform. It reports whether the
// node's own progress changed and whether the sender's was stale.
func (b *Board) Join(id kqplan.ID, p kqprogress.Progress) (changed, senderStale bool) {
	e, ok := b.entry(id)
	if !ok {
		return false, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	joined := kqprogress.Join(e.progress, p)
	changed, senderStale = joined != e.progress, joined != p
	e.progress = joined
	if joined.RolledBack {
		e.dueFinal = kqprogress.TakenBack
	}
	return changed, senderStale
}

// Merge adds another gate's report.
func (b *Board) Merge(id kqplan.ID, r kqledger.Report) {
	if e, ok := b.entry(id); ok {
		e.ledger.Merge(r)
	}
}

// Owned records that a node announced itself as the owner of the plan.
func (b *Board) Owned(id kqplan.ID, owner kqname.Node, now time.Time) {
	if e, ok := b.entry(id); ok {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.owner, e.ownerSeen = owner, now
	}
}

func (b *Board) entry(id kqplan.ID) (*entry, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	e, ok := b.entries[id]
	return e, ok
}

func (b *Board) allEntries() []*entry {
	b.mu.RLock()
	defer b.mu.RUnlock()
	list := make([]*entry, 0, len(b.entries))
	for _, e := range b.entries {
		list = append(list, e)
	}
	return list
}
