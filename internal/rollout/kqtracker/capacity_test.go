package kqtracker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqledger"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqtracker"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const slotsPerUpstream = 12

// warmUpstreams returns the upstreams of the fixture's gates.
func warmUpstreams() upstreams {
	var list upstreams
	for i := range oldGates + newGates {
		version := kqname.UpstreamVersion("v1")
		if i >= oldGates {
			version = "v2"
		}
		list = append(list, kqmember.Candidate{
			Upstream: kqmember.Upstream{Service: "shed", Version: version, Slots: slotsPerUpstream, FirstAnnounced: start.Add(-time.Minute), WarmFrom: start.Add(-time.Minute)},
			Node:     kqname.Node(fmt.Sprintf("n%d", i)),
		})
	}
	return list
}

// runToEnd runs an ordered rollout with the given number of slots in use, and returns its
// final state and the reason. Only the given number of the new version's upstreams remain.
func runToEnd(busySlots, remaining int) (kqprogress.Final, string) {
	f := newFixture(6)
	directory := warmUpstreams()[:oldGates+remaining]
	f.collector = kqtracker.New(kqledger.Source{Node: "collector"}, directory)
	f.collector.Update(map[kqname.Service]kqresource.Service{"shed": orderedService()}, start)
	calls := busySlots * int(tickInterval) / int(typicalLatency) / (oldGates + remaining)
	for f.now.Before(start.Add(15 * time.Second)) {
		for g := range oldGates + remaining {
			f.countSuccesses(g, calls)
		}
		f.endTick()
		f.collector.Step(f.plan, f.now)
		if v := f.collector.PlanSnapshots(f.now)[0]; v.DueFinal != kqprogress.Open {
			return v.DueFinal, v.Why
		}
	}
	return kqprogress.Open, ""
}

// Guards against a rollout that ends as done although the traffic does not fit on the new
// version, only two of whose five upstreams remained, through no fault of the version. Its
// slots were half of the old version's, which was enough to be done at the deadline.
// Once the busy old upstreams were stopped, two thirds of the calls of the lowest class were
// shed or late, where hardly any had been before.
func TestRolloutIsNotDoneIfTrafficDoesNotFit(t *testing.T) {
	if final, reason := runToEnd(43, 2); final != kqprogress.FinalRollback {
		t.Errorf("with 43 slots in use and 24 slots of the new version the rollout ended as %q: %s", final, reason)
	}
}

// Checks that the same few upstreams are enough for a service with little traffic. A
// rollback would make a good version miss its deadline for nothing.
func TestRolloutIsDoneIfTrafficFitsFewUpstreams(t *testing.T) {
	if final, reason := runToEnd(15, 2); final != kqprogress.Done {
		t.Errorf("with 15 slots in use and 24 slots of the new version the rollout ended as %q: %s", final, reason)
	}
}
