package kqshare_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqshare"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Guards against a fault that only shows under the normal load of an upstream and is missed
// because the small share is spread evenly over all new upstreams. The version would pass
// until it has all the traffic.
func TestSmallShareGivesFewUpstreamsFullLoad(t *testing.T) {
	for _, servers := range []int{4, 6, 40, 200} {
		var all []kqmember.Candidate
		for i := range servers {
			for _, v := range []kqname.UpstreamVersion{"v1", "v2"} {
				all = append(all, kqmember.Candidate{
					Upstream: kqmember.Upstream{Version: v, Slots: 6}, Node: kqname.Node(fmt.Sprintf("%s-%d", v, i)),
				})
			}
		}
		s := kqshare.Share{From: "v1", To: "v2", Fraction: 0.05, FewUpstreams: true}
		d := s.Distribution(all)
		random := rand.New(rand.NewPCG(1, 1))
		const calls, second = 200000, 7
		next, peakLoad := 0, 0.0
		// Each interval is a twentieth of the second.
		newCallsByInterval := make(map[int]int)
		for i := range calls {
			now := time.Unix(second, int64(i)*int64(time.Second)/calls)
			if criteria := d.Split(now, random); criteria.Version == "v2" {
				next++
				newCallsByInterval[i*20/calls]++
				if len(criteria.Nodes) == 0 {
					t.Fatal("the small share goes to all upstreams")
				}
			}
		}
		for _, n := range newCallsByInterval {
			selected := float64(len(d.Nodes))
			peakLoad = max(peakLoad, float64(n)/selected/(calls/20.0/float64(servers)))
		}
		if share := float64(next) / calls; share > 0.0515 {
			t.Errorf("%d servers: %.4f of a second's calls went to the new version", servers, share)
		}
		if peakLoad < 0.9 {
			t.Errorf("%d servers: at its peak a selected upstream got %.2f of an old one's load", servers, peakLoad)
		}
	}
}

// Guards against calls for a version that was rolled back while its upstreams still run. An
// ordered rollout names only its new version, so that every other version is an old one,
// except those that were rolled back.
func TestRolledBackVersionsAreNotOld(t *testing.T) {
	var all []kqmember.Candidate
	for i, v := range []kqname.UpstreamVersion{"v1", "v1", "v2", "v3", "v3", "v3", "v3"} {
		all = append(all, kqmember.Candidate{Upstream: kqmember.Upstream{Version: v, Slots: 6}, Node: kqname.Node(fmt.Sprint(i))})
	}
	s := kqshare.Share{To: "v3", Fraction: 0.65, ExcludedVersions: []kqname.UpstreamVersion{"v2"}, MayGrow: true}
	d := s.Distribution(all)
	random := rand.New(rand.NewPCG(1, 1))
	next := 0
	for range 1000 {
		criteria := d.Split(time.Unix(7, 0), random)
		if criteria.Version == "v3" {
			next++
			criteria = criteria.Next()
		}
		if !slices.Contains(criteria.ExcludedVersions, "v2") || !slices.Contains(criteria.ExcludedVersions, "v3") {
			t.Fatalf("the old version's calls may go to %+v", criteria)
		}
	}
	// Four of the six upstreams in use are new ones.
	if next < 620 || next > 710 {
		t.Errorf("%d of 1000 calls went to the new version, want two thirds", next)
	}
}
