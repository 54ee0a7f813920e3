package kqoverlay

import (
	"sync"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqneighbour"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// Overlay gives the neighbours of this node. It is safe for concurrent use.
	Overlay struct {
		table   *kqmember.Table
		chooser kqneighbour.Chooser

		mu    sync.Mutex
		stale bool
		alive []kqname.Node
		lost  []kqname.Node
	}
)

// New returns the overlay over a table.
func New(table *kqmember.Table) *Overlay {
	o := &Overlay{table: table, stale: true}
	table.OnNews(func(kqmember.Member) {
		o.mu.Lock()
		o.stale = true
		o.mu.Unlock()
	})
	return o
}

// Neighbours returns the members that this node keeps links to.
func (o *Overlay) Neighbours() []kqmember.Member {
	alive, _ := o.choose()
	return o.records(alive)
}

// Lost returns the dead members that would be neighbours if they were alive.
// They are this node's to probe, so that each dead member is probed by a few
// nodes however large the fleet is.
func (o *Overlay) Lost() []kqmember.Member {
	_, lost := o.choose()
	return o.records(lost)
}

func (o *Overlay) choose() (alive, lost []kqname.Node) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.stale {
		return o.alive, o.lost
	}
	o.stale = false
	self := one(o.table.Self())
	var living, all []kqneighbour.Member
	dead := make(map[kqname.Node]bool)
	for _, m := range o.table.Members() {
		all = append(all, one(m))
		if m.State == kqmember.Dead {
			dead[m.Node] = true
		} else {
			living = append(living, one(m))
		}
	}
	o.alive, o.lost = o.chooser.Choose(self, living), nil
	if len(dead) == 0 {
		return o.alive, o.lost
	}
	for _, n := range o.chooser.Choose(self, all) {
		if dead[n] {
			o.lost = append(o.lost, n)
		}
	}
	return o.alive, o.lost
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

func one(m kqmember.Member) kqneighbour.Member {
	return kqneighbour.Member{Node: m.Node, Domain: m.Domain, Region: m.Region}
}
