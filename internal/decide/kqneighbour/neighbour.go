package kqneighbour

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// successors in the own domain join every domain into a ring, so that no
	// node is without a link in; two of them bear one loss.
	successors = 2
	// near and far are links to pseudo-random members of the own domain and of
	// other domains. They make the overlay a random graph beside the rings,
	// whose diameter grows with the logarithm of the fleet: about 4 links at 550
	// nodes and 6 links each, by log(550)/log(6).
	near = 1
	far  = 3
)

type (
	// Member is what the choice depends on.
	Member struct {
		Node   kqname.Node
		Domain kqname.Domain
		Region kqname.Region
	}

	// Chooser chooses neighbours. The zero value is ready.
	//
	// It answers herds and storms: when many members come or go at once, a node
	// changes only the links to those members, because each choice is by a hash
	// of the two names and not by a position in a list. Without it, every node
	// would relink to every other and the reconnects would be a storm of their
	// own. A node has at most 6 links and one for each region but its own.
	Chooser struct{}
)

// Choose returns the neighbours of self among the members, which may hold self.
// It depends on nothing else, so any node can tell any other's neighbours.
func (Chooser) Choose(self Member, members []Member) []kqname.Node {
	c := &choice{self: self, taken: map[kqname.Node]bool{self.Node: true}}
	ring := filter(members, func(m Member) bool { return m.Domain == self.Domain })
	c.take(successors, byRing(self.Node, ring))
	c.take(near, byPair(self.Node, ring))
	others := byPair(self.Node, filter(members, func(m Member) bool { return m.Domain != self.Domain }))
	c.takeApart(others)
	for _, region := range regions(others, self.Region) {
		c.take(1, filter(others, func(m Member) bool { return m.Region == region }))
	}
	// A fleet of one domain, or of few members elsewhere, gets its links here.
	c.take(successors+near+far-len(c.chosen), byPair(self.Node, members))
	return c.chosen
}

type choice struct {
	self   Member
	taken  map[kqname.Node]bool
	chosen []kqname.Node
}

func (c *choice) take(most int, list []Member) {
	for _, m := range list {
		if most <= 0 {
			return
		}
		if !c.taken[m.Node] {
			c.taken[m.Node] = true
			c.chosen = append(c.chosen, m.Node)
			most--
		}
	}
}

// takeApart takes far links, each in another domain while there are any.
func (c *choice) takeApart(others []Member) {
	seen := make(map[kqname.Domain]bool)
	left := far
	for _, m := range others {
		if left > 0 && !seen[m.Domain] && !c.taken[m.Node] {
			seen[m.Domain] = true
			c.take(1, []Member{m})
			left--
		}
	}
	c.take(left, others)
}

// byRing returns the members in the order in which they follow node on a ring
// of name hashes.
func byRing(node kqname.Node, members []Member) []Member {
	at := xxhash.Sum64String(string(node))
	return sorted(members, func(m Member) uint64 { return xxhash.Sum64String(string(m.Node)) - at })
}

// byPair returns the members in the order of a hash of both names.
func byPair(node kqname.Node, members []Member) []Member {
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

func regions(members []Member, but kqname.Region) []kqname.Region {
	var list []kqname.Region
	for _, m := range members {
		if m.Region != but && !slices.Contains(list, m.Region) {
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
