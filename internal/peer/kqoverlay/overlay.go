package kqoverlay

import (
	"sync"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqneighbour"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// Overlay computes the neighbours of this node and caches them until a record of
	// the table changes. It is safe for concurrent use.
	Overlay struct {
		table   *kqmember.Table
		chooser kqneighbour.Chooser

		mu             sync.Mutex
		stale          bool
		neighbours     []kqname.Node
		deadNeighbours []kqname.Node
	}
)

// New returns the overlay of the members in a table.
func New(table *kqmember.Table) *Overlay {
	o := &Overlay{table: table, stale: true}
	table.OnChange(func(kqmember.Member) {
		o.mu.Lock()
		o.stale = true
		o.mu.Unlock()
	})
	return o
}

// Neighbours returns the members that this node is linked to, chosen among all that
// are not dead.
func (o *Overlay) Neighbours() []kqmember.Member {
	neighbours, _ := o.choose()
	return o.records(neighbours)
}

// DeadNeighbours returns the dead members that would be neighbours if no member were
// dead. This node probes them, so that only a few nodes probe each dead member, however
// large the fleet is.
func (o *Overlay) DeadNeighbours() []kqmember.Member {
	_, deadNeighbours := o.choose()
	return o.records(deadNeighbours)
}

// choose returns the names of the neighbours and of the dead neighbours, recomputed if
// the table has changed.
func (o *Overlay) choose() (neighbours, deadNeighbours []kqname.Node) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.stale {
		return o.neighbours, o.deadNeighbours
	}
	o.stale = false
	self := chooserMember(o.table.Self())
	var live, all []kqneighbour.Member
	dead := make(map[kqname.Node]bool)
	for _, m := range o.table.Members() {
		all = append(all, chooserMember(m))
		if m.State == kqmember.Dead {
			dead[m.Node] = true
		} else {
			live = append(live, chooserMember(m))
		}
	}
	o.neighbours, o.deadNeighbours = o.chooser.Choose(self, live), nil
	if len(dead) == 0 {
		return o.neighbours, o.deadNeighbours
	}
	for _, n := range o.chooser.Choose(self, all) {
		if dead[n] {
			o.deadNeighbours = append(o.deadNeighbours, n)
		}
	}
	return o.neighbours, o.deadNeighbours
}

func (o *Overlay) records(nodes []kqname.Node) []kqmember.Member {
	list := make([]kqmember.Member, 0, len(nodes))
	for _, n := range nodes {
		if m, ok := o.table.Find(n); ok {
			list = append(list, m)
		}
	}
	return list
}

func chooserMember(m kqmember.Member) kqneighbour.Member {
	return kqneighbour.Member{Node: m.Node, Domain: m.Domain, Region: m.Region}
}
