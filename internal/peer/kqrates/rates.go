package kqrates

import (
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqadmission"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqrateshare"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// TickPeriod is how often Tick is to be called.
	TickPeriod = 50 * time.Millisecond

	// reportPeriod is the time between two reports of a shard, and retryPause the one after
	// a report that failed.
	reportPeriod = 500 * time.Millisecond
	retryPause   = 100 * time.Millisecond
	// urgentPause is the least time between two reports while a workspace has many more calls
	// than usual. Without such reports, few nodes that get 4.7 times a rate at once would admit
	// it for up to a second, and exceed the rate's bound.
	urgentPause = 100 * time.Millisecond
	// maxFailures is after how many failed reports another coordinator is used.
	maxFailures = 2
)

// ErrReport is returned for a report that no node can have sent.
var ErrReport = errors.New("invalid report of rates")

type (
	// Transport sends a report to a coordinator and calls done with its answer, at once or
	// later and from any goroutine.
	Transport interface {
		Send(to kqmember.Member, r Report, done func(Answer, error))
	}

	// Observer is told of what operators must know. Its methods must not block.
	Observer interface {
		// LimitChanged is called when a workspace starts or stops being limited, at its
		// coordinator or at a node.
		LimitChanged(c LimitChange, now time.Time)
		// PortionChanged is called when a node starts or stops admitting the calls of some
		// shards by its own portion of rates. fleet is the number of nodes that it counts.
		PortionChanged(shards, fleet int, now time.Time)
		// Decided counts a call.
		Decided(w kqname.Workspace, v kqadmission.Verdict)
	}

	// LimitChange tells that a workspace starts or stops being limited. Arrived is the
	// number of calls a second over all nodes, known to the coordinator only.
	LimitChange struct {
		Workspace   kqname.Workspace
		Limited     bool
		Coordinator bool
		Limit       kqadmission.Limit
		Arrived     float64
		Share       float64
	}

	// Config holds what Rates depends on. Workspaces returns the workspaces of the version in
	// force, the same slice as long as they do not change. ExpectedNodes is the size of the
	// fleet until the node knows it.
	Config struct {
		Table         *kqmember.Table
		Workspaces    func() []kqdocument.Workspace
		Transport     Transport
		Observer      Observer
		Random        kqadmission.Random
		ExpectedNodes int
	}

	// Rates implements kqentry.Rates, reports to coordinators, and coordinates the shards of
	// which other nodes report to this one. It is safe for concurrent use.
	Rates struct {
		config Config
		fleet  *fleet
		index  *index

		mu      sync.Mutex
		started time.Time
		// phase spreads the reports of nodes over the period.
		phase      time.Duration
		shards     []*shard
		ownPortion int

		coordinator coordinator
	}

	// shard is what this node knows of a shard's coordinator, and the workspaces of the
	// shard that have calls here or are limited.
	shard struct {
		index    int
		link     kqadmission.Link
		next     time.Time
		sentAt   time.Time
		failures int
		inFlight bool
		entries  map[kqrateshare.Workspace]*entry
	}

	entry struct {
		name      kqname.Workspace
		limit     kqadmission.Limit
		admission *kqadmission.Admission
		limited   bool
		refusedAt time.Time
	}
)

// New returns rates that no node has reported to. It must be called before the table is shared.
func New(c Config, now time.Time) *Rates {
	r := &Rates{config: c, started: now, fleet: newFleet(c.Table, c.ExpectedNodes, now), index: &index{workspaces: c.Workspaces}}
	r.phase = time.Duration(c.Random.Float64() * float64(reportPeriod))
	r.coordinator.shards = make(map[shardKey]*coordinated)
	return r
}

// hashOf returns the workspace's identity in reports.
func hashOf(name kqname.Workspace) kqrateshare.Workspace {
	return kqrateshare.Workspace(xxhash.Sum64String(string(name)))
}

func limitOf(w *kqdocument.Workspace) kqadmission.Limit {
	return kqadmission.Limit{PerSecond: w.RatePerS, Burst: w.Burst}
}

// Admit implements kqentry.Rates.
func (r *Rates) Admit(w *kqdocument.Workspace, now time.Time) (retryAfter time.Duration, allowed bool) {
	known := r.fleet.count(now)
	r.mu.Lock()
	r.divide(known, now)
	hash := hashOf(w.Name)
	s := r.shardOf(hash)
	e := s.entry(hash, w, now)
	e.limit = limitOf(w)
	s.link.Portion = 1 / float64(known)
	v := e.admission.Admit(e.limit, s.link, r.config.Random, now)
	if v.Allowed && e.admission.IsUrgent(s.link.AnsweredAt, now) {
		s.next = minTime(s.next, s.sentAt.Add(urgentPause))
	}
	r.mu.Unlock()
	r.config.Observer.Decided(w.Name, v)
	return v.RetryAfter, v.Allowed
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Return implements kqentry.Rates.
func (r *Rates) Return(w kqname.Workspace, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.shards) == 0 {
		return
	}
	hash := hashOf(w)
	if e, ok := r.shardOf(hash).entries[hash]; ok {
		e.admission.Return()
	}
}

func (r *Rates) shardOf(w kqrateshare.Workspace) *shard {
	return r.shards[uint64(w)%uint64(len(r.shards))]
}

func (s *shard) entry(hash kqrateshare.Workspace, w *kqdocument.Workspace, now time.Time) *entry {
	e, ok := s.entries[hash]
	if !ok {
		e = &entry{name: w.Name, limit: limitOf(w), admission: kqadmission.New(limitOf(w), now)}
		s.entries[hash] = e
	}
	return e
}

// divide divides the workspaces into the shards of a fleet of that size. Answers that are held
// stay in force until the new coordinators' ones.
func (r *Rates) divide(known int, now time.Time) {
	count := shardCount(known)
	if len(r.shards) == count {
		return
	}
	before := r.shards
	link := kqadmission.Link{}
	if len(before) == 0 && now.Sub(r.started) > startTime {
		// No workspace had a rate until now, so that no coordinator is known to be away.
		link.AnsweredAt = now
	}
	for _, s := range before {
		if link.AnsweredAt.IsZero() || s.link.AnsweredAt.Before(link.AnsweredAt) {
			link = s.link
		}
	}
	r.shards = make([]*shard, count)
	for i := range r.shards {
		r.shards[i] = &shard{index: i, link: link, next: now, entries: make(map[kqrateshare.Workspace]*entry)}
	}
	for _, s := range before {
		for hash, e := range s.entries {
			r.shardOf(hash).entries[hash] = e
		}
	}
}

// Tick sends the reports that are due.
func (r *Rates) Tick(now time.Time) {
	r.index.refresh()
	r.observeCoordinated(now)
	if r.index.isEmpty() {
		r.notify(r.clear(), now)
		return
	}
	known := r.fleet.count(now)
	r.mu.Lock()
	r.divide(known, now)
	batches := r.batches(known, now)
	notify := r.portionChange(now)
	r.mu.Unlock()
	notify()
	for _, b := range batches {
		r.send(b, now)
	}
}

// clear forgets all shards, since no workspace has a rate, and returns which workspaces stop being
// limited.
func (r *Rates) clear() []LimitChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes []LimitChange
	for _, s := range r.shards {
		for _, e := range s.entries {
			if e.limited {
				changes = append(changes, LimitChange{Workspace: e.name, Limit: e.limit, Share: 1})
			}
		}
	}
	r.shards, r.ownPortion = nil, 0
	return changes
}

// portionChange returns a function that tells the observer if the number of shards without an
// answer has changed to or from 0. A node that has just started is not reported.
func (r *Rates) portionChange(now time.Time) func() {
	count := 0
	for _, s := range r.shards {
		if s.link.Basis(now) == kqadmission.ByPortion && now.Sub(r.started) > kqadmission.FreshFor+kqadmission.GraceFor {
			count++
		}
	}
	before := r.ownPortion
	r.ownPortion = count
	if (before == 0) == (count == 0) {
		return func() {}
	}
	return func() { r.config.Observer.PortionChanged(count, r.fleet.count(now), now) }
}
