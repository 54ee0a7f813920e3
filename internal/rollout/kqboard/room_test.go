package kqboard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqledger"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const slotsEach = 12

// roomy is a directory of the rig's gates.
func roomy() upstreams {
	var list upstreams
	for i := range oldGates + newGates {
		version := kqname.UpstreamVersion("v1")
		if i >= oldGates {
			version = "v2"
		}
		list = append(list, kqmember.Candidate{
			Upstream: kqmember.Upstream{Service: "shed", Version: version, Slots: slotsEach, Started: start.Add(-time.Minute), Warm: start.Add(-time.Minute)},
			Node:     kqname.Node(fmt.Sprintf("n%d", i)),
		})
	}
	return list
}

// ends plays an ordered rollout to its end, with so many slots in use, and returns its
// end and what it rests on. Of the new version's upstreams only left are still there.
func ends(busy, left int) (kqprogress.Final, string) {
	r := newRig(6)
	directory := roomy()[:oldGates+left]
	r.collector = kqboard.New(kqledger.Source{Node: "collector"}, directory)
	r.collector.Adopt(map[kqname.Service]kqresource.Service{"shed": order()}, start)
	calls := busy * int(tickLasts) / int(usualCall) / (oldGates + left)
	for r.now.Before(start.Add(15 * time.Second)) {
		for g := range oldGates + left {
			r.served(g, calls)
		}
		r.weigh()
		r.collector.Step(r.plan, r.now)
		if v := r.collector.Views(r.now)[0]; v.Wish != kqprogress.Open {
			return v.Wish, v.Why
		}
	}
	return kqprogress.Open, ""
}

// Of six upstreams of a new version two left, by no fault of the version; all old ones
// stayed, and were well in use. At the deadline the version ended as done, as its slots
// were over a third of the old one's. The old upstreams were stopped, and within a
// second two thirds of the calls that rank last were turned away or late, where next to
// none had been; so it went on for the rest of the day.
func TestRolloutDoesNotEndWhereItsTrafficHasNoRoom(t *testing.T) {
	if end, why := ends(43, 2); end != kqprogress.TakenBack {
		t.Errorf("with 43 slots in use and 24 of the new version it ended as %q: %s", end, why)
	}
}

// The same few upstreams have room for what a quiet service asks. Taken back, a good
// version would miss its deadline for nothing.
func TestRolloutEndsWhereFewUpstreamsHaveRoom(t *testing.T) {
	if end, why := ends(15, 2); end != kqprogress.Done {
		t.Errorf("with 15 slots in use and 24 of the new version it ended as %q: %s", end, why)
	}
}
