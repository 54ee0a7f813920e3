package kqdistribute_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/config/kqdistribute"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Guards against a node that never gets a version because its peers answer slowly: each pull is abandoned.
func TestSlowPullIsNotAbandoned(t *testing.T) {
	peer, node, replica := startNode(t, func(v kqname.ConfigVersion, err error) { t.Errorf("version %d: %v", v, err) })
	peer.answer = func(int) kqresource.Root {
		time.Sleep(800 * time.Millisecond)
		return kqresource.Root{Version: 2}
	}
	peer.push(t, node, kqresource.Root{Version: 2})
	select {
	case r := <-replica:
		if r.Version != 2 {
			t.Errorf("version %d was applied, want 2", r.Version)
		}
	case <-time.After(2 * time.Second):
		t.Error("version 2 was not applied in 2 s")
	}
}

// Guards against a version that waits for one slow peer after the other while another peer has it.
func TestSlowPeersDoNotDelayARoot(t *testing.T) {
	t.Run("announced together", func(t *testing.T) { testSlowPeers(t, 0) })
	t.Run("announced later", func(t *testing.T) { testSlowPeers(t, 1200*time.Millisecond) })
}

// testSlowPeers lets slow peers announce a version and, after a pause, a reader that answers.
func testSlowPeers(t *testing.T, pause time.Duration) {
	t.Helper()
	const slowPeers = 12
	release := make(chan struct{})
	peers := make([]*scriptedPeer, slowPeers+1)
	table := kqmember.NewTable(kqmember.Member{Node: "node", Domain: "d"})
	for i := range peers {
		name := kqname.Node(fmt.Sprintf("peer%d", i))
		p := &scriptedPeer{client: kqrpc.NewClient(name, nil)}
		p.answer = func(int) kqresource.Root {
			if i < slowPeers {
				<-release
			}
			return kqresource.Root{Version: 2}
		}
		server := kqrpc.NewServer(nil)
		kqrpc.Handle(server, "c.r", p.serveRoot)
		p.address = serve(t, server)
		table.Merge(kqmember.Member{Node: name, Domain: "d", Control: p.address, Incarnation: 1, Reader: i == slowPeers})
		peers[i] = p
		t.Cleanup(p.client.Close)
	}
	server, client, replica := kqrpc.NewServer(nil), kqrpc.NewClient("node", nil), make(appliedReplica, 10)
	d := kqdistribute.New(server, client, table, loneNode{}, loneNode{}, replica, func(kqname.ConfigVersion, error) {})
	address := serve(t, server)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { d.Run(ctx) })
	t.Cleanup(func() {
		close(release)
		cancel()
		group.Wait()
		client.Close()
	})
	d.AcceptRoot(ctx, kqresource.Root{Version: 1})
	replica.await(t, 1)
	for i, p := range peers {
		if i == slowPeers {
			time.Sleep(pause)
		}
		p.push(t, address, kqresource.Root{Version: 2})
	}
	select {
	case <-replica:
	case <-time.After(500 * time.Millisecond):
		t.Errorf("version 2 was not applied in 0.5 s although one of %d peers answers at once", len(peers))
	}
}

// Guards against a peer that is never pulled from again because a pull from it has panicked.
func TestPeerIsPulledFromAfterAPanic(t *testing.T) {
	peer := &scriptedPeer{client: kqrpc.NewClient("peer", nil), answer: func(int) kqresource.Root { return kqresource.Root{Version: 2} }}
	t.Cleanup(peer.client.Close)
	peerServer := kqrpc.NewServer(nil)
	kqrpc.Handle(peerServer, "c.r", peer.serveRoot)
	peer.address = serve(t, peerServer)
	table := kqmember.NewTable(kqmember.Member{Node: "node", Domain: "d"})
	table.Merge(kqmember.Member{Node: "peer", Domain: "d", Control: peer.address, Incarnation: 1})
	server, client, replica := kqrpc.NewServer(nil), kqrpc.NewClient("node", nil), make(appliedReplica, 10)
	d := kqdistribute.New(server, client, table, loneNode{}, loneNode{}, replica, func(kqname.ConfigVersion, error) { panic("refused") })
	address := serve(t, server)
	panicked := make(chan struct{}, 10)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { d.Run(kqsupervisor.New(func(kqsupervisor.Panic) { panicked <- struct{}{} }).With(ctx)) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
		client.Close()
	})
	d.AcceptRoot(ctx, kqresource.Root{Version: 1})
	replica.await(t, 1)
	// The root that the peer serves is not the announced one, which is reported.
	peer.push(t, address, kqresource.Root{Version: 2, Author: "ana"})
	select {
	case <-panicked:
	case <-time.After(waitTimeout):
		t.Fatal("no pull has panicked")
	}
	peer.push(t, address, kqresource.Root{Version: 2})
	replica.await(t, 2)
}
