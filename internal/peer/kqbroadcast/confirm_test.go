package kqbroadcast_test

import (
	"net"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqbroadcast"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// link makes the peers neighbours of one another in a line, by which the last ones are two hops and more
// away from the first.
func link(peers []*peer, overlays []*neighbours, names []kqname.Node) {
	for i := range peers {
		for _, n := range []int{i - 1, i + 1} {
			if n >= 0 && n < len(peers) {
				overlays[i].list = append(overlays[i].list, kqmember.Member{Node: names[n], Control: peers[n].address})
			}
		}
	}
}

// Guards against a confirmation before a node some hops away has the message, and against one that
// is never given since neighbours wait for each other.
func TestUrgentMessageIsConfirmedOnceAllNodesHaveIt(t *testing.T) {
	names := []kqname.Node{"a", "b", "c", "d"}
	var peers []*peer
	var overlays []*neighbours
	held := make(chan struct{})
	for _, name := range names {
		overlays = append(overlays, &neighbours{})
		peers = append(peers, start(t, name, overlays[len(overlays)-1]))
	}
	link(peers, overlays, names)
	peers[3].broadcaster.Subscribe(topic, func(kqname.Node, []byte) { <-held })
	confirmed := peers[0].broadcaster.PublishUrgent(t.Context(), topic, []byte("news"))
	for _, p := range peers[1:] {
		next(t, p)
	}
	select {
	case <-confirmed:
		t.Error("confirmed before the last node has handled the message")
	case <-time.After(50 * time.Millisecond):
	}
	began := time.Now()
	close(held)
	<-confirmed
	if took := time.Since(began); took > kqbroadcast.MaxConfirmTime/4 {
		t.Errorf("confirmed %v after the last node has the message", took)
	}
}

// Guards against an unreachable neighbour, also some hops away, that holds up each publisher for the whole time.
func TestUnreachableNeighbourHoldsUpOneMessage(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	names := []kqname.Node{"a", "b"}
	overlays := []*neighbours{{}, {}}
	peers := []*peer{start(t, "a", overlays[0]), start(t, "b", overlays[1])}
	link(peers, overlays, names)
	overlays[1].list = append(overlays[1].list, kqmember.Member{Node: "silent", Control: kqname.Address(silent.Addr().String())})
	publish := func() time.Duration {
		began := time.Now()
		<-peers[0].broadcaster.PublishUrgent(t.Context(), topic, []byte("news"))
		return time.Since(began)
	}
	if first := publish(); first < kqbroadcast.MaxConfirmTime/4 || first > 2*kqbroadcast.MaxConfirmTime {
		t.Errorf("the first message is confirmed after %v, want up to %v", first, kqbroadcast.MaxConfirmTime)
	}
	for range 3 {
		if later := publish(); later > kqbroadcast.MaxConfirmTime/4 {
			t.Errorf("a later message is confirmed after %v", later)
		}
	}
}
