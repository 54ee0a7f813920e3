package kqnode_test

import (
	"strings"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqdeparture"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Guards against calls to an upstream that left while the store was silent and whose node was
// killed before the store was back: the next process found it in the node's entry and used it
// for as long as one that announces itself.
func TestForgottenDepartureIsNotedBySilence(t *testing.T) {
	store := kqfakestore.New()
	node, kill := startWithAdapter(t, "a", store)
	sendAnnouncement(t, node, "one ready")
	await(t, "the upstream is in the node's entry", func() bool {
		l, err := store.List(t.Context(), "kumquatgw/nodes/")
		return err == nil && len(l.Entries) == 1
	})
	store.SetFaults(kqfakestore.Faults{Down: true})
	sendAnnouncement(t, node, "one gone")
	kill()
	store.SetFaults(kqfakestore.Faults{})
	if l, err := store.List(t.Context(), "kumquatgw/departures/"); err != nil || len(l.Entries) != 0 {
		t.Fatalf("the store holds %d departures, error %v, want none", len(l.Entries), err)
	}
	restarted := time.Now()
	node, kill = startWithAdapter(t, "a", store)
	defer kill()
	await(t, "the upstream of before is used", func() bool { return hasUpstream(node) })
	await(t, "the silent upstream is used no more", func() bool { return !hasUpstream(node) })
	// Twice the interval at which upstreams announce themselves by default.
	if took := time.Since(restarted); took > 3*time.Second {
		t.Errorf("the silent upstream was used for %v", took)
	}
	sendAnnouncement(t, node, "one ready")
	if !hasUpstream(node) {
		t.Error("an upstream that announces itself is not used")
	}
}

// Guards against a node that starts while the store is silent and takes a delayed announcement
// for that of a live upstream: it must use it no more once it can read the departure.
func TestDepartureIsAppliedOnceTheStoreIsBack(t *testing.T) {
	store := kqfakestore.New()
	node, kill := startWithAdapter(t, "a", store)
	sendAnnouncement(t, node, "one ready")
	await(t, "the upstream is announced", func() bool { return hasUpstream(node) })
	sendAnnouncement(t, node, "one gone")
	kill()
	store.SetFaults(kqfakestore.Faults{Down: true})
	node, kill = startWithAdapter(t, "a", store)
	defer kill()
	sendAnnouncement(t, node, "one ready")
	await(t, "an announcement is applied while the store is silent", func() bool { return hasUpstream(node) })
	store.SetFaults(kqfakestore.Faults{})
	back := time.Now()
	await(t, "the upstream that left is used no more", func() bool { return !hasUpstream(node) })
	if took := time.Since(back); took > 2*time.Second {
		t.Errorf("the upstream that left was used for %v after the store's return", took)
	}
}

// Guards against an upstream that left and stays in its node's entry since no other takes its
// place: each kill of the fleet would bring it back, also once its departure has lapsed.
func TestEntryForgetsAnUpstreamThatLeft(t *testing.T) {
	store := kqfakestore.New()
	entryLists := func(instance string) bool {
		l, err := store.List(t.Context(), "kumquatgw/nodes/")
		return err == nil && len(l.Entries) == 1 && strings.Contains(string(l.Entries[0].Value), `"instance":"`+instance+`"`)
	}
	node, kill := startWithAdapter(t, "a", store)
	sendAnnouncement(t, node, "one ready")
	await(t, "the upstream is in the node's entry", func() bool { return entryLists("one") })
	sendAnnouncement(t, node, "one gone")
	kill()
	if !entryLists("one") {
		t.Fatal("the upstream is not in the entry of the killed process")
	}
	control := node.Members()[0].Control
	_, kill = startWithAdapter(t, "a", store, func(s *kqsettings.Settings) { s.Node.ControlListen = control })
	defer kill()
	await(t, "the upstream that left is not in the node's entry", func() bool { return !entryLists("one") })
}

// Guards against an upstream that leaves by way of another node than its own: that node takes
// the departure, and the upstream's own one goes on to send it calls.
func TestDepartureReachesTheUpstreamsNode(t *testing.T) {
	store := kqfakestore.New()
	node, kill := startWithAdapter(t, "a", store)
	defer kill()
	other, killOther := startWithAdapter(t, "b", store)
	defer killOther()
	await(t, "the nodes know each other", func() bool { return len(node.Members()) == 2 && len(other.Members()) == 2 })
	sendAnnouncement(t, node, "one ready")
	await(t, "the upstream is announced", func() bool { return hasUpstream(node) })
	sendAnnouncement(t, other, "one gone")
	if hasUpstream(node) {
		t.Error("the upstream is used after another node has acknowledged that it left")
	}
	sendAnnouncement(t, node, "one ready")
	if hasUpstream(node) {
		t.Error("a late announcement brings the upstream back")
	}
}

// Guards against calls to an upstream that left while the store was silent, after a kill of all
// processes and one late announcement: it was used for as long as one that announces itself.
func TestLateAnnouncementAfterAKillIsNotConfirmed(t *testing.T) {
	store := kqfakestore.New()
	node, kill := startWithAdapter(t, "a", store)
	sendAnnouncement(t, node, "one ready")
	await(t, "the upstream is announced", func() bool { return hasUpstream(node) })
	store.SetFaults(kqfakestore.Faults{Down: true})
	sendAnnouncement(t, node, "one gone")
	kill()
	restarted := time.Now()
	node, kill = startWithAdapter(t, "a", store)
	defer kill()
	sendAnnouncement(t, node, "one ready")
	await(t, "an announcement is applied while the store is silent", func() bool { return hasUpstream(node) })
	await(t, "the upstream is used no more", func() bool { return !hasUpstream(node) })
	// Two of the intervals at which upstreams announce themselves by default, and a sweep.
	if took := time.Since(restarted); took > 3500*time.Millisecond {
		t.Errorf("the upstream was used until %v after the restart", took)
	}
	sendAnnouncement(t, node, "one ready")
	if !hasUpstream(node) {
		t.Error("an upstream that announces itself again is not used")
	}
}

// Guards against live upstreams that are not used after a restart without the store: what they
// announce before the node knows the departures counts, too.
func TestHeldAnnouncementsConfirmAnUpstream(t *testing.T) {
	store := kqfakestore.New()
	store.SetFaults(kqfakestore.Faults{Down: true})
	started := time.Now()
	node, kill := startWithAdapter(t, "a", store)
	defer kill()
	sendAnnouncement(t, node, "one ready")
	time.Sleep(900 * time.Millisecond)
	sendAnnouncement(t, node, "one ready")
	await(t, "the upstream is used", func() bool { return hasUpstream(node) })
	for time.Since(started) < 3500*time.Millisecond {
		if !hasUpstream(node) {
			t.Fatalf("a live upstream is not used %v after the start", time.Since(started))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a departure that is forgotten after a minute: its node was killed while the
// store was silent, and the peers that hold it write nothing.
func TestNextProcessStoresTheDepartureThatPeersHold(t *testing.T) {
	type departures struct {
		Departures []kqdeparture.Departure `cbor:"1,keyasint"`
	}
	store := kqfakestore.New()
	node, kill := startWithAdapter(t, "a", store)
	control := node.Members()[0].Control
	sendAnnouncement(t, node, "one ready")
	var peers []kqname.Address
	for _, name := range []string{"b", "c"} {
		peer, killPeer := startWithAdapter(t, name, store)
		defer killPeer()
		peers = append(peers, peer.Members()[0].Control)
	}
	await(t, "the nodes know each other", func() bool { return len(node.Members()) == 3 })
	await(t, "the upstream is in the node's entry", func() bool {
		l, err := store.List(t.Context(), "kumquatgw/nodes/a")
		return err == nil && len(l.Entries) == 1 && strings.Contains(string(l.Entries[0].Value), `"instance":"one"`)
	})
	kill()
	client := kqrpc.NewClient("a", nil)
	defer client.Close()
	for _, to := range peers {
		if _, err := kqrpc.Call[departures, struct{}](t.Context(), client, to, "d.t", departures{[]kqdeparture.Departure{{Instance: "one", StartedMS: 7}}}); err != nil {
			t.Fatal(err)
		}
	}
	node, kill = startWithAdapter(t, "a", store, func(s *kqsettings.Settings) { s.Node.ControlListen = control })
	defer kill()
	await(t, "the store holds the departure", func() bool {
		l, err := store.List(t.Context(), "kumquatgw/departures/")
		return err == nil && len(l.Entries) == 1
	})
	if hasUpstream(node) {
		t.Error("the upstream that left is used")
	}
}
