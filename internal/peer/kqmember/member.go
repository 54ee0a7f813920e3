package kqmember

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// Alive members take calls.
	Alive State = iota
	// Suspect members have missed heartbeats. They still take calls, and can refute the
	// suspicion with a higher incarnation.
	Suspect
	// Leaving members finish their calls in flight and take no new ones.
	Leaving
	// Dead members have not refuted a suspicion in time, or have left.
	Dead
)

type (
	// State is the liveness of a member as this node sees it.
	State uint8

	// Upstream is an upstream that has announced itself to its node.
	Upstream struct {
		Service  kqname.Service         `cbor:"1,keyasint"`
		Version  kqname.UpstreamVersion `cbor:"2,keyasint"`
		Slots    int                    `cbor:"3,keyasint"`
		Draining bool                   `cbor:"4,keyasint,omitempty"`
		// FirstAnnounced is when the upstream first announced itself or, if it has become
		// cold again since, when it said so.
		FirstAnnounced time.Time `cbor:"5,keyasint"`
		// WarmFrom is the announced end of the cold start, FirstAnnounced if none was
		// announced, or zero if the upstream announced no instance.
		WarmFrom time.Time `cbor:"6,keyasint,omitzero"`
		// Limited reports whether the upstream names a limit, and Limit is one of the last
		// few seconds, in calls a second. They are for operators to see.
		Limited bool    `cbor:"7,keyasint,omitempty"`
		Limit   float64 `cbor:"8,keyasint,omitempty"`
		// Start identifies this start of the upstream among all at its node.
		Start uint64 `cbor:"9,keyasint,omitempty"`
	}

	// Member is one node's record. Of two records of a node, the one with the higher
	// incarnation wins; at equal incarnations the higher state wins.
	Member struct {
		Node    kqname.Node    `cbor:"1,keyasint"`
		Domain  kqname.Domain  `cbor:"2,keyasint"`
		Region  kqname.Region  `cbor:"3,keyasint"`
		Control kqname.Address `cbor:"4,keyasint"`
		Gate    kqname.Address `cbor:"5,keyasint"`
		// Incarnation begins at the start time of the node's process, in milliseconds
		// since 1970. Only the node itself raises it, when it publishes a changed record
		// or refutes a peer's record of it.
		Incarnation uint64 `cbor:"6,keyasint"`
		State       State  `cbor:"7,keyasint"`
		// AppliedVersion is the newest configuration version that the node applies.
		AppliedVersion kqname.ConfigVersion `cbor:"8,keyasint"`
		Upstreams      []Upstream           `cbor:"9,keyasint,omitempty"`
		// Reader reports whether the node reads the platform's key-value service for the
		// other nodes.
		Reader bool `cbor:"10,keyasint,omitempty"`
		// Service is the configured service of the node's local upstream; it is set
		// also while no upstream runs.
		Service kqname.Service `cbor:"11,keyasint,omitempty"`
		// LinkMbits is the bandwidth of the server's link in Mbit/s, and CoreShare
		// the share of cores that the node may use. Both come from its settings; 0
		// means not set.
		LinkMbits float64 `cbor:"12,keyasint,omitempty"`
		CoreShare float64 `cbor:"13,keyasint,omitempty"`
		// Process identifies the node's process by its start time, in milliseconds
		// since 1970.
		Process uint64 `cbor:"14,keyasint,omitempty"`
		// StoreUnavailable reports that the platform's key-value service does not answer
		// the node. Only a node that reads it for others says so.
		StoreUnavailable bool `cbor:"15,keyasint,omitempty"`
	}

	// Candidate is an upstream that a call may be sent to, with its node's location and
	// gate address.
	Candidate struct {
		Upstream
		Node   kqname.Node
		Domain kqname.Domain
		Region kqname.Region
		Gate   kqname.Address
	}

	// Table holds a node's records of all members. It is safe for concurrent use.
	Table struct {
		self kqname.Node

		mu         sync.RWMutex
		members    map[kqname.Node]Member
		candidates map[kqname.Service][]Candidate
		liveCount  int
		// deadSince is when PruneDead first saw each dead member.
		deadSince map[kqname.Node]time.Time
		// pruned holds the incarnations of the dead members that PruneDead dropped.
		// Without it, peers that still hold such a record would add it again forever.
		pruned map[kqname.Node]uint64
		// summary and sorted are derived from members; sorted is nil until the next
		// call of Members.
		summary     Summary
		sorted      []Member
		subscribers []func(Member)
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
		deadSince: make(map[kqname.Node]time.Time), pruned: make(map[kqname.Node]uint64),
	}
	t.set(self)
	t.rebuildCandidates()
	return t
}

// OnChange registers f to be called with each record that Update, Merge or Declare
// has changed, this node's own included. It must be called before the table is shared;
// f must not block.
func (t *Table) OnChange(f func(Member)) { t.subscribers = append(t.subscribers, f) }

// Self returns the node's own record.
func (t *Table) Self() Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.members[t.self]
}

// Find returns a member's record and whether there is one.
func (t *Table) Find(n kqname.Node) (Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m, ok := t.members[n]
	return m, ok
}

// Update changes the node's own record, raises its incarnation and notifies the
// subscribers.
func (t *Table) Update(change func(*Member)) Member {
	t.mu.Lock()
	m := t.members[t.self]
	m.Upstreams = slices.Clone(m.Upstreams)
	change(&m)
	m.Incarnation++
	t.set(m)
	t.rebuildCandidates()
	t.mu.Unlock()
	t.notify(m)
	return m
}

// SetAppliedVersion raises the configuration version that a member applies. It ignores
// lower versions and unknown members. Subscribers are not notified, since heartbeats
// carry the versions: flooding a record for each node and version would cost a
// quadratic number of messages per change.
func (t *Table) SetAppliedVersion(n kqname.Node, v kqname.ConfigVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.members[n]; ok && v > m.AppliedVersion {
		m.AppliedVersion = v
		t.set(m)
	}
}

// Merge merges a record received from a peer and reports whether the table changed. It
// ignores invalid records. A record of this node itself that would supersede its own,
// such as a suspicion, is refuted by raising the own incarnation above it: a node that
// was only slow would otherwise stay excluded forever.
func (t *Table) Merge(m Member) bool {
	if !m.isValid() {
		return false
	}
	t.mu.Lock()
	if old, ok := t.members[m.Node]; ok && m.State == Dead && old.State < Leaving && m.Incarnation == old.Incarnation {
		// After a network partition heals, each side reports the other side as
		// dead. These reports must not take healthy upstreams out of service,
		// however many peers repeat them, so a member that is alive here becomes
		// suspect and gets the time to refute.
		m.State = Suspect
	}
	merged, changed := t.merge(m)
	t.mu.Unlock()
	if changed {
		t.notify(merged)
	}
	return changed
}

// isValid reports whether a record has a name, a control address, a known state
// and only upstreams with slots. Other records come from a faulty peer and must
// not affect where calls are sent.
func (m Member) isValid() bool {
	return m.Node != "" && m.Control != "" && m.State <= Dead &&
		!slices.ContainsFunc(m.Upstreams, func(u Upstream) bool { return u.Slots < 1 })
}

// Declare merges a record that this node derived from its own failure detector
// and reports whether the table changed. Unlike Merge, it can turn a member that is
// alive here into a dead one of the same incarnation.
func (t *Table) Declare(m Member) bool {
	t.mu.Lock()
	merged, changed := t.merge(m)
	t.mu.Unlock()
	if changed {
		t.notify(merged)
	}
	return changed
}

// merge stores m if it supersedes the current record, and returns the record to pass to
// the subscribers and whether the table changed. A record of this node itself is never
// stored; one that would supersede the own record raises the own incarnation. A dead
// record of a pruned member is ignored unless its incarnation is higher than the pruned
// one.
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
	if !ok && m.State == Dead && m.Incarnation <= t.pruned[m.Node] {
		return m, false
	}
	t.set(m)
	if m.State != Dead {
		delete(t.deadSince, m.Node)
	}
	t.rebuildCandidates()
	return m, true
}

// PruneDead drops the members that have been dead since before the given time. A
// member that is found dead for the first time counts as dead since now.
func (t *Table) PruneDead(before, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, m := range t.members {
		if m.State != Dead || n == t.self {
			continue
		}
		if died, ok := t.deadSince[n]; !ok {
			t.deadSince[n] = now
		} else if died.Before(before) {
			t.summary.toggle(m)
			t.sorted = nil
			delete(t.members, n)
			delete(t.deadSince, n)
			t.pruned[n] = m.Incarnation
		}
	}
}

// set stores a record and updates the summary. Only set and PruneDead may change
// members.
func (t *Table) set(m Member) {
	if old, ok := t.members[m.Node]; ok {
		t.summary.toggle(old)
	}
	t.members[m.Node] = m
	t.summary.toggle(m)
	t.sorted = nil
}

func (t *Table) notify(m Member) {
	for _, f := range t.subscribers {
		f(m)
	}
}

// Members returns all records, sorted by node name.
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

// Upstreams returns the upstreams of a service that take new calls, sorted by node
// name. The caller must not modify the returned slice.
func (t *Table) Upstreams(service kqname.Service) []Candidate {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.candidates[service]
}

// LiveCount returns the number of alive and suspect members, this node included.
func (t *Table) LiveCount() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.liveCount
}

// rebuildCandidates recomputes the candidates of each service and the number of
// live members.
func (t *Table) rebuildCandidates() {
	t.liveCount = 0
	candidates := make(map[kqname.Service][]Candidate)
	for _, m := range t.members {
		if m.State >= Leaving {
			continue
		}
		t.liveCount++
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
