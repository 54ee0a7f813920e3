package kqrpc_test

import (
	"context"
	"net"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Guards against a panic in a method's handler that ends the process and aborts all calls
// in flight, since the drpc library does not recover it. Only the request that panicked
// may fail.
func TestPanicInAMethodFailsOneRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	panics := make(chan kqsupervisor.Panic, 1)
	ctx, stop := context.WithCancel(kqsupervisor.New(func(p kqsupervisor.Panic) { panics <- p }).With(t.Context()))
	defer stop()
	s := kqrpc.NewServer(nil)
	kqrpc.Handle(s, "t.p", func(_ context.Context, _ kqname.Node, q int) (int, error) {
		if q == 0 {
			panic("fault")
		}
		return q, nil
	})
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, l) }()
	c := kqrpc.NewClient("a", nil)
	to := kqname.Address(l.Addr().String())
	if _, err := kqrpc.Call[int, int](ctx, c, to, "t.p", 0); err == nil {
		t.Error("the request that panicked was answered")
	}
	if a, err := kqrpc.Call[int, int](ctx, c, to, "t.p", 7); err != nil || a != 7 {
		t.Errorf("the next request returned %d, %v, want 7", a, err)
	}
	if p := <-panics; p.Value != "fault" || p.Part != "peer" {
		t.Errorf("reported panic %+v, want value fault in part peer", p)
	}
	stop()
	c.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
}
