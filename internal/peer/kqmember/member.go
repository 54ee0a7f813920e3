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
		// Warm is when the upstream is no longer slow from its start, as far as it
		// said so itself.
		Warm time.Time `cbor:"6,keyasint,omitzero"`
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
		// Reader tells that the node watches the platform for the others.
		Reader bool `cbor:"10,keyasint,omitempty"`
		// Service is that of the upstream beside the node, also while none runs.
		Service kqname.Service `cbor:"11,keyasint,omitempty"`
		// Link is the bandwidth of the server's link in Mbit/s, and Cores the share of
		// cores that the node may use, by its settings; 0 where they state none.
		Link  float64 `cbor:"12,keyasint,omitempty"`
		Cores float64 `cbor:"13,keyasint,omitempty"`
		// Process tells one process of the node from the next: when it started, in
		// milliseconds since 1970.
		Process uint64 `cbor:"14,keyasint,omitempty"`
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
		living     int
		gone       map[kqname.Node]time.Time
		// forgotten holds the incarnations of the dead that were dropped. Peers
		// that still hold them would otherwise bring them back for ever.
		forgotten map[kqname.Node]uint64
		// summary and sorted follow members; sorted is nil until it is asked for.
		summary Summary
		sorted  []Member
		news    []func(Member)
	}
)

// String returns the state's name in lower case.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[min(s, Dead)]
}

// NewTable returns a table that holds only the node itself.
func NewTable(self Member) *Table {
	t := &Table{
		self: self.Node, members: make(map[kqname.Node]Member),
		gone: make(map[kqname.Node]time.Time), forgotten: make(map[kqname.Node]uint64),
	}
	t.set(self)
	t.index()
	return t
}

// OnNews calls f with each record that changed, this node's own included. It
// must be called before the table is shared, and f must not block.
func (t *Table) OnNews(f func(Member)) { t.news = append(t.news, f) }

// Self returns the node's own record.
func (t *Table) Self() Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.members[t.self]
}

// Find returns a member's record.
func (t *Table) Find(n kqname.Node) (Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m, ok := t.members[n]
	return m, ok
}

// Update changes the node's own record under a new incarnation.
func (t *Table) Update(change func(*Member)) Member {
	t.mu.Lock()
	m := t.members[t.self]
	m.Upstreams = slices.Clone(m.Upstreams)
	change(&m)
	m.Incarnation++
	t.set(m)
	t.index()
	t.mu.Unlock()
	t.tell(m)
	return m
}

// SetConfig notes the configuration version that a member holds. It is no news:
// it travels on heartbeats, as a record for each node and version would cost
// the fleet its square in messages at each change.
func (t *Table) SetConfig(n kqname.Node, v kqname.ConfigVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.members[n]; ok && v > m.Config {
		m.Config = v
		t.set(m)
	}
}

// Merge takes in a record heard from a peer and reports whether it was news.
// A record that holds this node itself to be gone is refuted by an incarnation
// over its own: a node that was only slow would otherwise stay out for ever.
func (t *Table) Merge(m Member) bool {
	if !m.sound() {
		return false
	}
	t.mu.Lock()
	if old, ok := t.members[m.Node]; ok && m.State == Dead && old.State < Leaving && m.Incarnation == old.Incarnation {
		// Nodes that were cut off hold everybody beyond the cut to be dead. When
		// the cut heals, their word must not take healthy upstreams out of
		// service, however many repeat it: whoever holds a member to be alive
		// gives it the time to refute.
		m.State = Suspect
	}
	merged, news := t.merge(m)
	t.mu.Unlock()
	if news {
		t.tell(merged)
	}
	return news
}

// sound reports whether a record can stand for a member at all; one that cannot
// comes from a broken peer, and calls must not be led by it.
func (m Member) sound() bool {
	return m.Node != "" && m.Control != "" && m.State <= Dead &&
		!slices.ContainsFunc(m.Upstreams, func(u Upstream) bool { return u.Slots < 1 })
}

// Declare takes in what this node itself finds out about a member: unlike
// Merge, it believes in a death at once.
func (t *Table) Declare(m Member) bool {
	t.mu.Lock()
	merged, news := t.merge(m)
	t.mu.Unlock()
	if news {
		t.tell(merged)
	}
	return news
}

func (t *Table) merge(m Member) (Member, bool) {
	old, ok := t.members[m.Node]
	if m.Node == t.self {
		if m.Incarnation < old.Incarnation || m.Incarnation == old.Incarnation && m.State <= old.State {
			return old, false
		}
		old.Incarnation = m.Incarnation + 1
		t.set(old)
		return old, true
	}
	if ok && cmp.Or(cmp.Compare(m.Incarnation, old.Incarnation), cmp.Compare(m.State, old.State)) <= 0 {
		return old, false
	}
	if !ok && m.State == Dead && m.Incarnation <= t.forgotten[m.Node] {
		return m, false
	}
	t.set(m)
	if m.State != Dead {
		delete(t.gone, m.Node)
	}
	t.index()
	return m, true
}

// Forget drops the members that have been dead since before the given time;
// now is when newly dead ones are taken to have died.
func (t *Table) Forget(before, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, m := range t.members {
		if m.State != Dead || n == t.self {
			continue
		}
		if died, ok := t.gone[n]; !ok {
			t.gone[n] = now
		} else if died.Before(before) {
			t.summary.fold(m)
			t.sorted = nil
			delete(t.members, n)
			delete(t.gone, n)
			t.forgotten[n] = m.Incarnation
		}
	}
}

// set stores a record; every change of members goes through it or Forget.
func (t *Table) set(m Member) {
	if old, ok := t.members[m.Node]; ok {
		t.summary.fold(old)
	}
	t.members[m.Node] = m
	t.summary.fold(m)
	t.sorted = nil
}

func (t *Table) tell(m Member) {
	for _, f := range t.news {
		f(m)
	}
}

// Members returns all records, in the order of their nodes' names.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sorted == nil {
		for _, m := range t.members {
			t.sorted = append(t.sorted, m)
		}
		slices.SortFunc(t.sorted, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	}
	return slices.Clone(t.sorted)
}

// Upstreams returns the upstreams of a service that take new work. The caller
// must not change what it gets.
func (t *Table) Upstreams(service kqname.Service) []Candidate {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.candidates[service]
}

// Living returns how many members are not held to be gone, this node included.
func (t *Table) Living() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.living
}

func (t *Table) index() {
	t.living = 0
	candidates := make(map[kqname.Service][]Candidate)
	for _, m := range t.members {
		if m.State >= Leaving {
			continue
		}
		t.living++
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
