package kqrpc_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Guards against impersonation by a node with a valid certificate. Without the check of
// the sender's name, one compromised server could send requests as any other node, for
// example heartbeats that hide the other node's failure. The request must not run.
func TestSenderMustMatchItsCertificate(t *testing.T) {
	var ran atomic.Int32
	authenticate := func(_ context.Context, c net.Conn) (net.Conn, kqname.Node, error) { return c, "honest", nil }
	server := kqrpc.NewServer(nil, kqrpc.WithGuard(authenticate))
	kqrpc.Handle(server, "order", func(context.Context, kqname.Node, int) (int, error) {
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
		client := kqrpc.NewClient(c.sender, nil)
		_, err := kqrpc.Call[int, int](ctx, client, kqname.Address(l.Addr().String()), "order", 1)
		client.Close()
		if ran.Load() != c.runs || (err == nil) != (c.runs == 1) {
			t.Errorf("requests of %s: handler ran %d times, error %v; want %d runs", c.sender, ran.Load(), err, c.runs)
		}
	}
}
