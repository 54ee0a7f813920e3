package kqmember_test

import (
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
)

// Guards against a late record of a node's former process that arrives while the next
// process serves. If it were merged, the running process's upstreams would be removed
// from the candidates, and calls that they could serve would be refused.
func TestLateRecordsOfFormerProcessAreIgnored(t *testing.T) {
	record := func(incarnation uint64, s kqmember.State) kqmember.Member {
		return kqmember.Member{
			Node: "goes", Control: "127.0.0.1:1", Gate: "127.0.0.1:2", Incarnation: incarnation, State: s,
			Upstreams: []kqmember.Upstream{{Service: "store", Version: "v1", Slots: 4}},
		}
	}
	peer := kqmember.NewTable(kqmember.Member{Node: "stays", Control: "127.0.0.1:3"})
	peer.Merge(record(2000, kqmember.Alive))
	for _, s := range []kqmember.State{kqmember.Alive, kqmember.Suspect, kqmember.Leaving, kqmember.Dead} {
		peer.Merge(record(1000, s))
		if len(peer.Upstreams("store")) != 1 {
			t.Errorf("a %s record of the former process removed the running process's upstream", s)
		}
	}
}

// Guards against a restarted node that gets no calls because its server's clock was set
// back: its incarnation is then lower than that of its former process, which peers hold
// as dead. Once the node merges a peer's record of itself, its upstream must become a
// candidate again.
func TestNodeRejoinsAfterItsClockWasSetBack(t *testing.T) {
	former := kqmember.Member{Node: "goes", Control: "127.0.0.1:1", Gate: "127.0.0.1:2", Incarnation: 5003, State: kqmember.Dead}
	peer := kqmember.NewTable(kqmember.Member{Node: "stays", Control: "127.0.0.1:3"})
	peer.Merge(former)
	next := former
	next.Incarnation, next.State = 2000, kqmember.Alive
	next.Upstreams = []kqmember.Upstream{{Service: "store", Version: "v1", Slots: 4}}
	own := kqmember.NewTable(next)
	if peer.Merge(own.Self()); len(peer.Upstreams("store")) != 0 {
		t.Fatal("the peer merged a record of a lower incarnation")
	}
	peerRecord, _ := peer.Find("goes")
	own.Merge(peerRecord)
	if peer.Merge(own.Self()); len(peer.Upstreams("store")) != 1 {
		t.Errorf("the peer has no upstream of the node, whose own record is %+v", own.Self())
	}
}
