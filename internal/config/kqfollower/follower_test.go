package kqfollower_test

import (
	"fmt"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/config/kqfollower"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Nodes of a domain die, also those that followed the store for the others. Others
// must follow in their place at once, and never more than a few of a domain, or
// the store's load would grow with the fleet.
func TestFollowersOfADomain(t *testing.T) {
	var members []kqmember.Member
	for i := range 40 {
		members = append(members, kqmember.Member{Node: kqname.Node(fmt.Sprint("n", i)), Domain: kqname.Domain(fmt.Sprint("d", i%4))})
	}
	for killed := range 35 {
		followers := make(map[kqname.Domain]int)
		alive := make(map[kqname.Domain]int)
		for i := range members {
			if members[i].State != kqmember.Alive {
				continue
			}
			alive[members[i].Domain]++
			if kqfollower.Chosen(members[i], members) {
				followers[members[i].Domain]++
			}
		}
		for d, n := range alive {
			if want := min(n, kqfollower.PerDomain); followers[d] != want {
				t.Errorf("%d killed: domain %s has %d followers, want %d", killed, d, followers[d], want)
			}
		}
		members[killed].State = kqmember.Dead
	}
	if !kqfollower.Chosen(kqmember.Member{Node: "alone", Domain: "d"}, nil) {
		t.Error("a node that knows nobody does not follow")
	}
}
