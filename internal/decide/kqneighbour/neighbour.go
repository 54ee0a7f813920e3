package kqneighbour

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// ringLinks go to successors in the own domain. They connect each domain as a ring, so
	// that every node has an incoming link; two of them tolerate one loss.
	ringLinks = 2
	// localLinks and remoteLinks go to pseudo-random members of the own and of other
	// domains. They add a random graph to the rings, whose diameter grows with the
	// logarithm of the fleet: about 4 hops for 550 nodes with 6 links each, by
	// log(550)/log(6).
	localLinks  = 1
	remoteLinks = 3
)

type (
	// Member is a member of the fleet.
	Member struct {
		Node   kqname.Node
		Domain kqname.Domain
		Region kqname.Region
	}

	// Chooser chooses neighbours. The zero value is ready to use.
	//
	// It limits reconnects when many members join or leave at once: a node replaces few
	// links besides those to these members, since each choice depends on a hash of two
	// names rather than on a position in a list. Otherwise all nodes would replace their
	// links, and the reconnects would overload the nodes. A node has at most 6 links, plus
	// one for each other region.
	Chooser struct{}
)

// Choose returns the neighbours of self among the members, which may include self. The
// result depends only on the arguments, so any node can compute the neighbours of any
// other.
func (Chooser) Choose(self Member, members []Member) []kqname.Node {
	c := &selection{self: self, taken: map[kqname.Node]bool{self.Node: true}}
	ring := filter(members, func(m Member) bool { return m.Domain == self.Domain })
	c.take(ringLinks, sortByRing(self.Node, ring))
	c.take(localLinks, sortByPairHash(self.Node, ring))
	others := sortByPairHash(self.Node, filter(members, func(m Member) bool { return m.Domain != self.Domain }))
	c.takeRemote(others)
	for _, region := range regions(others, self.Region) {
		c.take(1, filter(others, func(m Member) bool { return m.Region == region }))
	}
	// In a fleet of one domain, or with few members elsewhere, fill up with any members.
	c.take(ringLinks+localLinks+remoteLinks-len(c.chosen), sortByPairHash(self.Node, members))
	return c.chosen
}

type selection struct {
	self   Member
	taken  map[kqname.Node]bool
	chosen []kqname.Node
}

// take chooses the first members of the list that are not chosen yet, at most limit.
func (c *selection) take(limit int, list []Member) {
	for _, m := range list {
		if limit <= 0 {
			return
		}
		if !c.taken[m.Node] {
			c.taken[m.Node] = true
			c.chosen = append(c.chosen, m.Node)
			limit--
		}
	}
}

// takeRemote chooses the remote links, each in a different domain as far as possible.
func (c *selection) takeRemote(others []Member) {
	seen := make(map[kqname.Domain]bool)
	remaining := remoteLinks
	for _, m := range others {
		if remaining > 0 && !seen[m.Domain] && !c.taken[m.Node] {
			seen[m.Domain] = true
			c.take(1, []Member{m})
			remaining--
		}
	}
	c.take(remaining, others)
}

// sortByRing returns the members in the order in which they follow node on a hash ring.
func sortByRing(node kqname.Node, members []Member) []Member {
	at := xxhash.Sum64String(string(node))
	return sorted(members, func(m Member) uint64 { return xxhash.Sum64String(string(m.Node)) - at })
}

// sortByPairHash returns the members ordered by a hash of node's name and theirs.
func sortByPairHash(node kqname.Node, members []Member) []Member {
	return sorted(members, func(m Member) uint64 { return xxhash.Sum64String(string(node) + "/" + string(m.Node)) })
}

func sorted(members []Member, key func(Member) uint64) []Member {
	type keyed struct {
		key uint64
		Member
	}
	list := make([]keyed, 0, len(members))
	for _, m := range members {
		list = append(list, keyed{key(m), m})
	}
	slices.SortFunc(list, func(a, b keyed) int { return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.Node, b.Node)) })
	result := make([]Member, 0, len(list))
	for _, k := range list {
		result = append(result, k.Member)
	}
	return result
}

func regions(members []Member, except kqname.Region) []kqname.Region {
	var list []kqname.Region
	for _, m := range members {
		if m.Region != except && !slices.Contains(list, m.Region) {
			list = append(list, m.Region)
		}
	}
	slices.Sort(list)
	return list
}

func filter(members []Member, keep func(Member) bool) []Member {
	var kept []Member
	for _, m := range members {
		if keep(m) {
			kept = append(kept, m)
		}
	}
	return kept
}
