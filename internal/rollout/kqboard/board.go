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
	removed = "an operator removed or replaced the plan"
	// kept is how long a plan that is gone from the document stays known, so
	// that its final state can still be settled and read.
	kept = time.Hour
)

type (
	// Directory gives the upstreams of a service that take new work.
	Directory interface {
		Upstreams(service kqname.Service) []kqmember.Candidate
	}

	// Board is one node's view of the rollouts. It is safe for concurrent use.
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
		// taken are the versions that an order brought in which is gone from the
		// document and did not end as done. Their upstreams may run on for a while.
		taken map[kqname.UpstreamVersion]bool
	}
)

// New returns a board that knows no rollout.
func New(self kqledger.Source, directory Directory) *Board {
	return &Board{
		self: self, directory: directory,
		entries: make(map[kqplan.ID]*entry), services: make(map[kqname.Service]service),
	}
}

// Adopt takes in the services of the configuration in force. A plan that has
// gone from a service, or was replaced, is rolled back unless it has ended.
func (b *Board) Adopt(all map[kqname.Service]kqresource.Service, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, s := range all {
		next := service{version: s.Service.Version, taken: maps.Clone(b.services[name].taken)}
		for _, p := range kqplan.Of(s) {
			next.entries = append(next.entries, b.adopt(p, now))
		}
		slices.SortStableFunc(next.entries, func(x, y *entry) int {
			return cmp.Or(x.plan.Start.Compare(y.plan.Start), cmp.Compare(x.plan.Name, y.plan.Name))
		})
		for _, e := range b.services[name].entries {
			if !slices.Contains(next.entries, e) {
				e.remove(now)
				next.take(e)
			}
		}
		for _, e := range next.entries {
			delete(next.taken, e.plan.To)
		}
		b.services[name] = next
	}
	for id, e := range b.entries {
		if e.forgettable(now) {
			delete(b.entries, id)
		}
	}
}

func (b *Board) adopt(p kqplan.Plan, now time.Time) *entry {
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
	e.gone = time.Time{}
	return e
}

// take notes the version of an order that is gone.
func (s *service) take(e *entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.plan.Duration == 0 || e.progress.Final == kqprogress.Done {
		return
	}
	if s.taken == nil {
		s.taken = make(map[kqname.UpstreamVersion]bool)
	}
	s.taken[e.plan.To] = true
}

func (e *entry) remove(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone = now
	if e.progress.Open() && !e.progress.RolledBack {
		e.rollback(removed)
	}
}

// forgettable reports whether the plan has been gone for long enough. Nodes run
// for months, and each plan holds its evidence.
func (e *entry) forgettable(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.gone.IsZero() && now.Sub(e.gone) >= kept
}

// Weigh takes in the evidence that has come together for a plan. It is for nodes
// that get all gates' reports: one that knows only its own gate's would compare
// two versions by the calls of one.
func (b *Board) Weigh(id kqplan.ID, now time.Time) {
	e, ok := b.entry(id)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.started(now) {
		e.weigh(now)
	}
}

// Step decides a plan's next step and applies it.
func (b *Board) Step(id kqplan.ID, now time.Time) kqstep.Decision {
	e, ok := b.entry(id)
	if !ok {
		return kqstep.Decision{Action: kqstep.Hold, Why: "the plan is not known"}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := kqstep.State{Plan: e.plan, Progress: e.progress, Finding: e.finding, BusySlots: e.busy}
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
	e.slots = s.OldSlots + s.NewSlots + s.ColdSlots
	d := kqstep.Decide(now, s)
	if e.listening(now) && (d.Action == kqstep.Advance || d.Action == kqstep.Done) {
		// A node that has just become the owner knows nothing yet that speaks against it.
		d = kqstep.Decision{Action: kqstep.Hold, Why: "what gates have counted is being collected"}
	}
	e.apply(d)
	return d
}

// Join takes in progress heard of from a peer or the platform, and reports
// whether it was news and whether the sender lacks something.
func (b *Board) Join(id kqplan.ID, p kqprogress.Progress) (news, stale bool) {
	e, ok := b.entry(id)
	if !ok {
		return false, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	joined := kqprogress.Join(e.progress, p)
	news, stale = joined != e.progress, joined != p
	e.progress = joined
	if joined.RolledBack {
		e.wish = kqprogress.TakenBack
	}
	return news, stale
}

// Merge takes in another gate's report.
func (b *Board) Merge(id kqplan.ID, r kqledger.Report) {
	if e, ok := b.entry(id); ok {
		e.ledger.Merge(r)
	}
}

// Owned notes that a node said to own the plan.
func (b *Board) Owned(id kqplan.ID, owner kqname.Node, now time.Time) {
	if e, ok := b.entry(id); ok {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.owner, e.heard = owner, now
	}
}

func (b *Board) entry(id kqplan.ID) (*entry, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	e, ok := b.entries[id]
	return e, ok
}

func (b *Board) all() []*entry {
	b.mu.RLock()
	defer b.mu.RUnlock()
	list := make([]*entry, 0, len(b.entries))
	for _, e := range b.entries {
		list = append(list, e)
	}
	return list
}
