package kqbroadcast_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqbroadcast"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const topic kqbroadcast.Topic = "test"

type (
	peer struct {
		broadcaster *kqbroadcast.Broadcaster
		address     kqname.Address
		received    chan string
	}

	// neighbours is an overlay with a fixed list of neighbours.
	neighbours struct{ list []kqmember.Member }
)

func (n *neighbours) Neighbours() []kqmember.Member { return n.list }

func start(t *testing.T, name kqname.Node, overlay *neighbours) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, client := kqrpc.NewServer(nil), kqrpc.NewClient(name, nil)
	p := &peer{address: kqname.Address(l.Addr().String()), received: make(chan string, 100)}
	p.broadcaster = kqbroadcast.New(server, client, name, overlay, func() {})
	p.broadcaster.Subscribe(topic, func(_ kqname.Node, payload []byte) { p.received <- string(payload) })
	ctx, stop := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(ctx, l) })
	group.Go(func() { p.broadcaster.Run(ctx) })
	t.Cleanup(func() {
		client.Close()
		stop()
		group.Wait()
	})
	return p
}

// Guards against the flooding of direct messages. Gates send rollout evidence to the few
// nodes that evaluate it; if these forwarded it, each rollout would exhaust every node's
// control budget and configuration would arrive late.
func TestSendDirectReachesOnlyTheGivenNodes(t *testing.T) {
	overlay := &neighbours{}
	a, b, c := start(t, "a", overlay), start(t, "b", overlay), start(t, "c", overlay)
	for _, p := range []*peer{b, c} {
		overlay.list = append(overlay.list, kqmember.Member{Control: p.address})
	}
	a.broadcaster.SendDirect(t.Context(), topic, []byte("evidence"), []kqname.Address{b.address})
	if got := next(t, b); got != "evidence" {
		t.Fatalf("the given node received %q, want evidence", got)
	}
	a.broadcaster.Publish(t.Context(), topic, []byte("progress"))
	for _, p := range []*peer{b, c} {
		if got := next(t, p); got != "progress" {
			t.Errorf("received %q, want progress: only the given node may receive a direct message", got)
		}
	}
}

func next(t *testing.T, p *peer) string {
	t.Helper()
	select {
	case m := <-p.received:
		return m
	case <-time.After(10 * time.Second):
		t.Fatal("received nothing in 10 s")
		return ""
	}
}

// Guards against a data race of messages that arrive or are published while the node stops.
func TestUrgentMessagesWhileStopping(t *testing.T) {
	overlay := &neighbours{}
	b := start(t, "b", overlay)
	sender := kqbroadcast.New(kqrpc.NewServer(nil), kqrpc.NewClient("a", nil), "a", &neighbours{[]kqmember.Member{{Node: "b", Control: b.address}}}, func() {})
	for range 50 {
		ctx, stop := context.WithCancel(t.Context())
		var group conc.WaitGroup
		group.Go(func() { sender.Run(ctx) })
		for range 4 {
			group.Go(func() {
				for range 10 {
					sender.PublishUrgent(ctx, topic, []byte("news"))
					sender.SendDirect(ctx, topic, []byte("evidence"), []kqname.Address{b.address})
				}
			})
		}
		stop()
		group.Wait()
		for len(b.received) > 0 {
			<-b.received
		}
	}
}
