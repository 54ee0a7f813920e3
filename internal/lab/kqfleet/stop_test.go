package kqfleet_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	callers = 30
	wait    = 20 * time.Second
)

// A node is stopped gracefully while its callers send one call after another on
// connections that they keep. Before the node's listeners close, a call may
// just be on its way on a connection that looks idle; closed then, the caller
// would get no answer and could not tell whether its order went through.
func TestGracefulStopCutsNoCall(t *testing.T) {
	f := kqfleet.New()
	for _, name := range []kqname.Node{"one", "two"} {
		if _, err := f.Start(kqfleet.Spec{
			Node: name, Domain: "a", Region: "r", Service: "store", Version: "v1", Slots: callers,
			Behaviour: kqupstream.Behaviour{Work: time.Millisecond},
		}); err != nil {
			t.Fatal(err)
		}
	}
	d := kqdocument.Document{
		Teams:    []kqdocument.Team{{Name: "shop"}},
		Services: []kqdocument.Service{{Name: "store", Team: "shop"}},
		Routes:   []kqdocument.Route{{Name: "store", Team: "shop", Host: "store", PathPrefix: "/", Service: "store"}},
	}
	if _, err := kqcommit.New(f.Platform).Commit(t.Context(), kqcommit.Request{ID: "one", At: time.Now(), Document: d}); err != nil {
		t.Fatal(err)
	}
	stopped := f.Servers()[1]
	var answered, cut atomic.Int64
	ctx, stop := context.WithTimeout(t.Context(), wait)
	defer stop()
	var group conc.WaitGroup
	for i := range callers {
		group.Go(func() { press(ctx, stopped.Node.EntryAddress(), i, &answered, &cut) })
	}
	for answered.Load() < 10*callers && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	before := answered.Load()
	stopped.Stop()
	group.Wait()
	if answered.Load() <= before || cut.Load() > 0 {
		t.Errorf("%d calls answered, %d of them while the node stopped; %d cut, want 0", answered.Load(), answered.Load()-before, cut.Load())
	}
	if err := f.Close(); err != nil {
		t.Error(err)
	}
}

// press calls until the node takes no connection any more.
func press(ctx context.Context, to kqname.Address, number int, answered, cut *atomic.Int64) {
	client := &fasthttp.HostClient{
		Addr: string(to), MaxConns: 1, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	for ctx.Err() == nil {
		q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		q.SetRequestURI("http://store/")
		q.Header.SetMethod(fasthttp.MethodPost)
		q.Header.Set(kqupstream.HeaderWork, fmt.Sprint(number))
		err := client.DoTimeout(q, a, wait)
		var op *net.OpError
		switch {
		case errors.As(err, &op) && op.Op == "dial":
			return
		case err != nil:
			cut.Add(1)
		case a.StatusCode() == fasthttp.StatusOK:
			answered.Add(1)
		}
		time.Sleep(time.Duration(number) * 100 * time.Microsecond)
	}
}
