package kqdistribute_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/config/kqdistribute"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const waitTimeout = 10 * time.Second

type (
	// scriptedPeer serves roots as the test decides.
	scriptedPeer struct {
		client  *kqrpc.Client
		address kqname.Address
		// answer returns the root to serve for the n-th pull, from 1.
		answer func(n int) kqresource.Root

		mu    sync.Mutex
		pulls int
	}

	// appliedReplica sends each applied root to a channel.
	appliedReplica chan kqresource.Root

	// pushMessage, rootRequest and rootAnswer have the encoding of the messages between
	// distributors.
	pushMessage struct {
		Version kqname.ConfigVersion `cbor:"1,keyasint"`
		Digest  kqresource.Digest    `cbor:"2,keyasint"`
	}
	rootRequest struct {
		Held kqresource.Digest `cbor:"1,keyasint"`
	}
	rootAnswer struct {
		Version kqname.ConfigVersion `cbor:"1,keyasint"`
		Whole   []byte               `cbor:"2,keyasint,omitempty"`
	}
)

func (a appliedReplica) ApplyRoot(_ context.Context, root kqresource.Root) error {
	a <- root
	return nil
}

func (p *scriptedPeer) serveRoot(context.Context, kqname.Node, rootRequest) (rootAnswer, error) {
	p.mu.Lock()
	p.pulls++
	n := p.pulls
	p.mu.Unlock()
	root := p.answer(n)
	data, err := kqresource.Encode(root)
	return rootAnswer{Version: root.Version, Whole: data}, err
}

// push announces a version to a node, with the digest of the given root.
func (p *scriptedPeer) push(t *testing.T, to kqname.Address, root kqresource.Root) {
	t.Helper()
	data, err := kqresource.Encode(root)
	if err != nil {
		t.Fatal(err)
	}
	message := pushMessage{Version: root.Version, Digest: kqresource.DigestOf(data)}
	if _, err := kqrpc.Call[pushMessage, struct{}](t.Context(), p.client, to, "c.p", message); err != nil {
		t.Fatal(err)
	}
}

// serve runs a server on loopback until the test ends.
func serve(t *testing.T, server *kqrpc.Server) kqname.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(ctx, l) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return kqname.Address(l.Addr().String())
}

// startNode runs a distributor that knows one peer, which it returns. onFailure gets the
// distributor's failures.
func startNode(t *testing.T, onFailure func(kqname.ConfigVersion, error)) (*scriptedPeer, kqname.Address, appliedReplica) {
	t.Helper()
	peer := &scriptedPeer{client: kqrpc.NewClient("peer", nil)}
	peerServer := kqrpc.NewServer(nil)
	kqrpc.Handle(peerServer, "c.r", peer.serveRoot)
	peer.address = serve(t, peerServer)
	table := kqmember.NewTable(kqmember.Member{Node: "node", Domain: "d"})
	table.Merge(kqmember.Member{Node: "peer", Domain: "d", Control: peer.address, Incarnation: 1})
	server, client, replica := kqrpc.NewServer(nil), kqrpc.NewClient("node", nil), make(appliedReplica, 10)
	d := kqdistribute.New(server, client, table, loneNode{}, loneNode{}, replica, onFailure)
	address := serve(t, server)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { d.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
		peer.client.Close()
		client.Close()
	})
	// The store has answered, so the node applies versions.
	d.AcceptRoot(ctx, kqresource.Root{Version: 1})
	replica.await(t, 1)
	return peer, address, replica
}

// await waits for a version to be applied and returns its root.
func (a appliedReplica) await(t *testing.T, v kqname.ConfigVersion) kqresource.Root {
	t.Helper()
	timeout := time.After(waitTimeout)
	for {
		select {
		case r := <-a:
			if r.Version == v {
				return r
			}
		case <-timeout:
			t.Fatalf("version %d was not applied in %s", v, waitTimeout)
		}
	}
}

// Guards against a version that is not pulled although a peer has announced it: the
// announcement arrives while the same peer's answer with the version before is under way.
// If nothing else tells of it, the node stays on the old version.
func TestVersionAnnouncedDuringAPullIsPulled(t *testing.T) {
	peer, node, replica := startNode(t, func(v kqname.ConfigVersion, err error) { t.Errorf("version %d: %v", v, err) })
	peer.answer = func(n int) kqresource.Root {
		if n == 1 {
			peer.push(t, node, kqresource.Root{Version: 3})
		}
		return kqresource.Root{Version: kqname.ConfigVersion(n + 1)}
	}
	peer.push(t, node, kqresource.Root{Version: 2})
	replica.await(t, 3)
}

// Guards against pulls without end from a peer that does not serve the version which it
// announced.
func TestPeerWithoutTheAnnouncedVersionIsNotPulledAgain(t *testing.T) {
	peer, node, replica := startNode(t, func(kqname.ConfigVersion, error) {})
	peer.answer = func(int) kqresource.Root { return kqresource.Root{Version: 2} }
	peer.push(t, node, kqresource.Root{Version: 9})
	replica.await(t, 2)
	time.Sleep(100 * time.Millisecond)
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if peer.pulls != 1 {
		t.Errorf("%d pulls, want 1", peer.pulls)
	}
}

// Guards against a root that is not the one which a peer announced under this version, such
// as one that was changed on the way: the node must not apply it, must report it, and must
// pull the version again when it is announced again.
func TestRootWithAnotherDigestIsRefused(t *testing.T) {
	failures := make(chan error, 10)
	peer, node, replica := startNode(t, func(_ kqname.ConfigVersion, err error) { failures <- err })
	announced := kqresource.Root{Version: 2, Author: "ana"}
	peer.answer = func(n int) kqresource.Root {
		if n == 1 {
			return kqresource.Root{Version: 2, Author: "eve"}
		}
		return announced
	}
	peer.push(t, node, announced)
	select {
	case err := <-failures:
		if !errors.Is(err, kqresource.ErrDigestMismatch) {
			t.Errorf("reported %v, want ErrDigestMismatch", err)
		}
	case r := <-replica:
		t.Fatalf("root of %s was applied, want none", r.Author)
	case <-time.After(waitTimeout):
		t.Fatal("root was neither applied nor refused")
	}
	peer.push(t, node, announced)
	if r := replica.await(t, 2); r.Author != "ana" {
		t.Errorf("root of %s was applied, want ana's", r.Author)
	}
}
