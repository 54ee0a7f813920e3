package kqmember_test

import (
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
)

// What was said of a node's former process arrives once the next one is in use: it was
// leaving, or held to be dead. Taken in, it would take the next one's upstreams out of
// service, and calls would be refused that they could serve.
func TestRecordsOfAFormerProcessArriveLate(t *testing.T) {
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
			t.Errorf("the former process, %s, took the next one's upstream out of service", s)
		}
	}
}

// A node starts again after its server's clock was set back, so that its former process
// seems to be the later one, and that one had said goodbye. Once its peers' word reaches
// it, it must be in use again.
func TestNodeStartsAgainAfterItsClockWasSetBack(t *testing.T) {
	former := kqmember.Member{Node: "goes", Control: "127.0.0.1:1", Gate: "127.0.0.1:2", Incarnation: 5003, State: kqmember.Dead}
	peer := kqmember.NewTable(kqmember.Member{Node: "stays", Control: "127.0.0.1:3"})
	peer.Merge(former)
	next := former
	next.Incarnation, next.State = 2000, kqmember.Alive
	next.Upstreams = []kqmember.Upstream{{Service: "store", Version: "v1", Slots: 4}}
	own := kqmember.NewTable(next)
	if peer.Merge(own.Self()); len(peer.Upstreams("store")) != 0 {
		t.Fatal("the peer believes a record that seems to be older")
	}
	held, _ := peer.Find("goes")
	own.Merge(held)
	if peer.Merge(own.Self()); len(peer.Upstreams("store")) != 1 {
		t.Errorf("the node says %+v and is not in use", own.Self())
	}
}
