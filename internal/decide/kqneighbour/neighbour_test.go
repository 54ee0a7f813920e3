package kqneighbour_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqneighbour"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// maxNeighbours is 6 links, plus one for each of the two other regions of the fleet.
const maxNeighbours = 6 + 2

func fleet(n int) []kqneighbour.Member {
	var members []kqneighbour.Member
	for i := range n {
		members = append(members, kqneighbour.Member{
			Node:   kqname.Node(fmt.Sprintf("node-%03d", i)),
			Domain: kqname.Domain(fmt.Sprintf("domain-%d", i%7)), Region: kqname.Region(fmt.Sprintf("region-%d", i%7%3)),
		})
	}
	return members
}

// broadcast returns how many members a message from the first one reaches, and the maximum
// number of hops.
func broadcast(members []kqneighbour.Member) (count, hops int) {
	byName := make(map[kqname.Node]kqneighbour.Member)
	for _, m := range members {
		byName[m.Node] = m
	}
	seen := map[kqname.Node]bool{members[0].Node: true}
	frontier := []kqneighbour.Member{members[0]}
	for len(frontier) > 0 {
		var next []kqneighbour.Member
		for _, m := range frontier {
			for _, n := range (kqneighbour.Chooser{}).Choose(m, members) {
				if !seen[n] {
					seen[n] = true
					next = append(next, byName[n])
				}
			}
		}
		if frontier = next; len(next) > 0 {
			hops++
		}
	}
	return len(seen), hops
}

// A message is passed on over every node's links. Nodes without an incoming link would
// never get it, long paths would delay it, and too many links would load the nodes.
func TestBroadcastReachesAllNodesInFewHops(t *testing.T) {
	for _, n := range []int{2, 7, 25, 200, 550} {
		members := fleet(n)
		if count, hops := broadcast(members); count != n || hops > 6 {
			t.Errorf("%d nodes: reached %d in %d hops, want all in at most 6", n, count, hops)
		}
		for _, m := range members {
			if got := (kqneighbour.Chooser{}).Choose(m, members); len(got) > maxNeighbours || slices.Contains(got, m.Node) {
				t.Errorf("%d nodes: %s has neighbours %v, want at most 8 other nodes", n, m.Node, got)
			}
		}
	}
}

// A failure domain is lost, and all other nodes replace their links to it at the same
// moment. If they also dropped links to live nodes, the whole fleet would reconnect at
// once.
func TestDomainLossKeepsOtherLinks(t *testing.T) {
	members := fleet(550)
	remaining := slices.DeleteFunc(slices.Clone(members), func(m kqneighbour.Member) bool { return m.Domain == "domain-3" })
	kept, live := 0, 0
	for _, m := range remaining {
		after := (kqneighbour.Chooser{}).Choose(m, remaining)
		for _, n := range (kqneighbour.Chooser{}).Choose(m, members) {
			if slices.ContainsFunc(remaining, func(l kqneighbour.Member) bool { return l.Node == n }) {
				live++
				if slices.Contains(after, n) {
					kept++
				}
			}
		}
	}
	if kept*10 < live*9 {
		t.Fatalf("kept %d of %d links to live nodes, want at least 90%%", kept, live)
	}
	if count, _ := broadcast(remaining); count != len(remaining) {
		t.Fatalf("reached %d of %d nodes, want all", count, len(remaining))
	}
}
