package kqsuspicion_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqquarantine"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqbroadcast"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqsuspicion"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// network delivers broadcasts to all of its nodes that are not cut off.
	network struct {
		mu        sync.Mutex
		receivers []kqbroadcast.Receiver
		isCut     bool
		// confirmed is closed once all nodes have confirmed the messages; nil means at once.
		confirmed chan struct{}
	}

	// observer counts what becomes of requests.
	observer struct {
		mu                         sync.Mutex
		suspected, refused, lifted int
	}

	testNode struct {
		*kqsuspicion.Suspicions
		observer *observer
		table    *kqmember.Table
		member   kqmember.Member
		// conns is the number of connections that peers have opened to the node.
		conns *atomic.Int32
	}

	countingListener struct {
		net.Listener
		conns atomic.Int32
	}
)

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.conns.Add(1)
	}
	return conn, err
}

func (n *network) PublishUrgent(_ context.Context, _ kqbroadcast.Topic, payload []byte) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.confirmed == nil {
		n.confirmed = make(chan struct{})
		close(n.confirmed)
	}
	for _, r := range n.receivers {
		if !n.isCut {
			r("peer", payload)
		}
	}
	return n.confirmed
}

func (n *network) Subscribe(_ kqbroadcast.Topic, r kqbroadcast.Receiver) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.receivers = append(n.receivers, r)
}

func (o *observer) count(n *int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	*n++
}

func (o *observer) Suspected(kqquarantine.Suspect, time.Time)       { o.count(&o.suspected) }
func (o *observer) Refused(kqquarantine.Suspect, time.Time)         { o.count(&o.refused) }
func (o *observer) Cleared(kqquarantine.Suspect, string, time.Time) { o.count(&o.lifted) }
func (o *observer) NewsDropped()                                    {}

func start(t *testing.T, name kqname.Node, peers *network, options ...kqsuspicion.Option) *testNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &countingListener{Listener: listener}
	server, client := kqrpc.NewServer(nil), kqrpc.NewClient(name, nil)
	n := &testNode{observer: &observer{}, member: kqmember.Member{Node: name, Control: kqname.Address(l.Addr().String()), Incarnation: 1}, conns: &l.conns}
	n.table = kqmember.NewTable(n.member)
	n.Suspicions = kqsuspicion.New(server, client, peers, n.table, n.observer, time.Minute, options...)
	ctx, stop := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(ctx, l) })
	group.Go(func() { n.Run(ctx) })
	group.Go(func() { n.RunKeeping(ctx) })
	t.Cleanup(func() {
		client.Close()
		stop()
		group.Wait()
	})
	return n
}

func (n *testNode) end(r kqfingerprint.Fingerprint, count int) {
	for i := range count {
		now := time.Now()
		n.RecordEnd(r, kqquarantine.Origin{Service: "store", Route: "r"}, kqquarantine.End{
			Upstream: kqquarantine.Start{Node: "n", ID: uint64(i + 1)}, Certainty: kqquarantine.Confirmed, Sent: now, Known: now,
		})
	}
}

func (n *testNode) refuses(r kqfingerprint.Fingerprint) bool {
	return n.IsRefused(r, time.Now())
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not after 15 s: %s", what)
		}
	}
}

// Guards against a node that tells nobody, and against an answer at one node that the others do not hear of.
func TestAllNodesHearOfEndsAndAnswers(t *testing.T) {
	n, r := &network{}, kqfingerprint.Fingerprint{9}
	a, b := start(t, "a", n), start(t, "b", n)
	a.end(r, 3)
	await(t, "the other node refuses the request", func() bool { return b.refuses(r) })
	time.Sleep(2 * time.Millisecond)
	b.RecordAnswer(r, time.Now(), time.Now())
	await(t, "both nodes send the request again", func() bool { return !a.refuses(r) && !b.refuses(r) })
	if a.observer.suspected != 1 || b.observer.suspected != 0 || b.observer.refused != 1 || a.observer.lifted != 1 {
		t.Errorf("reported %+v and %+v", a.observer, b.observer)
	}
}

// Guards against news that were lost for good: a cut node must hear of ends and of clearances once it can.
func TestNodesCompareWhatNewsDidNotReach(t *testing.T) {
	n, r, cleared := &network{isCut: true}, kqfingerprint.Fingerprint{9}, kqfingerprint.Fingerprint{8}
	a, b := start(t, "a", n), start(t, "b", n)
	a.end(r, 3)
	b.end(cleared, 3)
	a.Clear(cleared, time.Now().Add(time.Second))
	b.table.Merge(a.member)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var group conc.WaitGroup
	defer group.Wait()
	defer stop()
	group.Go(func() { b.Compare(ctx) })
	await(t, "the node refuses what its peer refuses, and sends what its peer cleared", func() bool { return b.refuses(r) && !b.refuses(cleared) })
}

// Guards against starting nodes that all ask the same peers.
func TestStartingNodesAskDifferentPeers(t *testing.T) {
	const peers, starting = 20, 40
	n := &network{}
	var members []*testNode
	for i := range peers {
		members = append(members, start(t, kqname.Node(fmt.Sprintf("peer-%02d", i)), n))
	}
	for i := range starting {
		s := start(t, kqname.Node(fmt.Sprintf("starting-%02d", i)), n)
		for _, m := range members {
			s.table.Merge(m.member)
		}
		s.Learn(t.Context())
	}
	for _, m := range members {
		if got := m.conns.Load(); got > starting/2 {
			t.Errorf("%d of %d starting nodes ask %s", got, starting, m.member.Node)
		}
	}
}

// All nodes start anew at the same moment, so that only the store can tell.
func TestRefusedRequestOutlivesARestartOfAllNodes(t *testing.T) {
	store, r := kqfakestore.New(), kqfingerprint.Fingerprint{9}
	before := start(t, "a", &network{}, kqsuspicion.WithStore(store, store))
	before.end(r, 3)
	await(t, "the store holds the request", func() bool {
		l, err := store.List(t.Context(), "kumquatgw/quarantine/")
		return err == nil && len(l.Entries) == 1
	})
	after := start(t, "a", &network{}, kqsuspicion.WithStore(store, store))
	ctx, stop := context.WithTimeout(t.Context(), time.Second)
	defer stop()
	after.Learn(ctx)
	if !after.refuses(r) {
		t.Error("the new process sends the request")
	}
	before.Clear(r, time.Now().Add(time.Second))
	await(t, "the store holds no ends of the request", func() bool {
		l, err := store.List(t.Context(), "kumquatgw/quarantine/")
		return err == nil && len(l.Entries) == 1 && len(l.Entries[0].Value) < 5
	})
}

// Guards against two requests that are tried at one upstream at once, and against a turn that is kept for ever.
func TestGateTriesOneRequestAtATime(t *testing.T) {
	a := start(t, "a", &network{})
	deadline := time.Now().Add(100 * time.Millisecond)
	if !a.BeginProbe(&kqcall.Call{Deadline: deadline}) {
		t.Fatal("the first probe does not begin")
	}
	if a.BeginProbe(&kqcall.Call{Deadline: deadline}) {
		t.Error("a second probe begins beside the first one")
	}
	a.EndProbe()
	if !a.BeginProbe(&kqcall.Call{Deadline: time.Now().Add(time.Second)}) {
		t.Error("no probe begins after the first one has ended")
	}
}
