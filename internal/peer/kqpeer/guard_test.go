package kqpeer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqpeer"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// A node that holds a good certificate speaks in another node's name. Without
// the check, one captured server could give orders as if it were any other; the
// user would see a healthy node declared gone. The request must reach nothing.
func TestSenderMustBeTheProvedNode(t *testing.T) {
	var ran atomic.Int32
	prove := func(_ context.Context, c net.Conn) (net.Conn, kqname.Node, error) { return c, "honest", nil }
	server := kqpeer.NewServer(nil, kqpeer.WithGuard(prove))
	kqpeer.Handle(server, "order", func(context.Context, kqname.Node, int) (int, error) {
		ran.Add(1)
		return 1, nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { _ = server.Serve(ctx, l) })

	for _, c := range []struct {
		sender kqname.Node
		runs   int32
	}{{"impostor", 0}, {"honest", 1}} {
		client := kqpeer.NewClient(c.sender, nil)
		_, err := kqpeer.Call[int, int](ctx, client, kqname.Address(l.Addr().String()), "order", 1)
		client.Close()
		if ran.Load() != c.runs || (err == nil) != (c.runs == 1) {
			t.Errorf("%s: ran %d times, error %v; want %d", c.sender, ran.Load(), err, c.runs)
		}
	}
}
