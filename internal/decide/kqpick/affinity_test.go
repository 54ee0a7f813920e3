package kqpick_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Entries that know the same upstreams send a request that may end them to the same one, whatever else they know.
func TestEntriesAgreeOnTheUpstreamOfAnAffinity(t *testing.T) {
	now := time.Unix(1000, 0)
	var all []kqmember.Candidate
	for _, node := range []kqname.Node{"a", "b", "c", "d"} {
		all = append(all, kqmember.Candidate{Upstream: kqmember.Upstream{Service: "store", Version: "v1", Slots: 4}, Node: node, Domain: kqname.Domain(node)})
	}
	chosen := make(map[kqname.Node]int)
	for affinity := uint64(1); affinity <= 100; affinity++ {
		var first kqname.Node
		for i, domain := range []kqname.Domain{"a", "b", "c"} {
			p := kqpick.New(domain)
			p.Set(all, now)
			got := p.Pick(kqpick.Criteria{Affinity: affinity}, nil, now, rand.New(rand.NewPCG(affinity, uint64(i)))).Node
			if i == 0 {
				first = got
			}
			if got != first {
				t.Fatalf("affinity %d: one entry chooses %s, another %s", affinity, first, got)
			}
		}
		chosen[first]++
	}
	if len(chosen) != len(all) {
		t.Errorf("100 affinities use the upstreams %v only", chosen)
	}
}
