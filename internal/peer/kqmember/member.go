// Package kqmember holds what a node knows of all others: who is alive, leaving
// or gone, and which upstreams stand beside them.
package kqmember

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// Alive members take work.
	Alive State = iota
	// Suspect members have missed heartbeats and may refute.
	Suspect
	// Leaving members finish what they have and take no new work.
	Leaving
	// Dead members have not refuted in time, or have said goodbye.
	Dead
)

type (
	// State is what a member is held to be.
	State uint8

	// Upstream is one back end that has announced itself to its node.
	Upstream struct {
		Service  kqname.Service         `cbor:"1,keyasint"`
		Version  kqname.UpstreamVersion `cbor:"2,keyasint"`
		Slots    int                    `cbor:"3,keyasint"`
		Draining bool                   `cbor:"4,keyasint,omitempty"`
		// Started is when the upstream first announced itself.
		Started time.Time `cbor:"5,keyasint"`
	}

	// Member is one node's record. Records of a higher incarnation win; of
	// equal ones, the higher state wins.
	Member struct {
		Node        kqname.Node          `cbor:"1,keyasint"`
		Domain      kqname.Domain        `cbor:"2,keyasint"`
		Region      kqname.Region        `cbor:"3,keyasint"`
		Control     kqname.Address       `cbor:"4,keyasint"`
		Gate        kqname.Address       `cbor:"5,keyasint"`
		Incarnation uint64               `cbor:"6,keyasint"`
		State       State                `cbor:"7,keyasint"`
		Config      kqname.ConfigVersion `cbor:"8,keyasint"`
		Upstreams   []Upstream           `cbor:"9,keyasint,omitempty"`
	}

	// Candidate is an upstream that a call may be sent to.
	Candidate struct {
		Upstream
		Node   kqname.Node
		Domain kqname.Domain
		Region kqname.Region
		Gate   kqname.Address
	}

	// Table is a node's view of all members. It is safe for concurrent use.
	Table struct {
		self kqname.Node

		mu         sync.RWMutex
		members    map[kqname.Node]Member
		candidates map[kqname.Service][]Candidate
	}
)

// String returns the state's name in lower case.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[min(s, Dead)]
}

// NewTable returns a table that holds only the node itself.
func NewTable(self Member) *Table {
	t := &Table{self: self.Node, members: make(map[kqname.Node]Member)}
	t.members[self.Node] = self
	t.index()
	return t
}

// Self returns the node's own record.
func (t *Table) Self() Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.members[t.self]
}

// Update changes the node's own record under a new incarnation.
func (t *Table) Update(change func(*Member)) Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[t.self]
	m.Upstreams = slices.Clone(m.Upstreams)
	change(&m)
	m.Incarnation++
	t.members[t.self] = m
	t.index()
	return m
}

// Merge takes in a record heard from a peer and reports whether it was news.
// A record that holds this node itself to be gone is refuted by an incarnation
// over its own: a node that was only slow would otherwise stay out for ever.
func (t *Table) Merge(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.members[m.Node]
	if m.Node == t.self {
		if m.Incarnation < old.Incarnation || m.Incarnation == old.Incarnation && m.State <= old.State {
			return false
		}
		old.Incarnation = m.Incarnation + 1
		t.members[t.self] = old
		return true
	}
	if ok && cmp.Or(cmp.Compare(m.Incarnation, old.Incarnation), cmp.Compare(m.State, old.State)) <= 0 {
		return false
	}
	t.members[m.Node] = m
	t.index()
	return true
}

// Members returns all records, in the order of their nodes' names.
func (t *Table) Members() []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return all
}

// Upstreams returns the upstreams of a service that take new work. The caller
// must not change what it gets.
func (t *Table) Upstreams(service kqname.Service) []Candidate {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.candidates[service]
}

func (t *Table) index() {
	candidates := make(map[kqname.Service][]Candidate)
	for _, m := range t.members {
		if m.State >= Leaving {
			continue
		}
		for _, u := range m.Upstreams {
			if !u.Draining {
				candidates[u.Service] = append(candidates[u.Service], Candidate{Upstream: u, Node: m.Node, Domain: m.Domain, Region: m.Region, Gate: m.Gate})
			}
		}
	}
	for _, list := range candidates {
		slices.SortFunc(list, func(a, b Candidate) int { return cmp.Compare(a.Node, b.Node) })
	}
	t.candidates = candidates
}
