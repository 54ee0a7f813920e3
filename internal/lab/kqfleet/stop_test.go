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
	timeout = 20 * time.Second
)

// A node stops gracefully while callers send sequential calls on keep-alive
// connections. A call may be in transit on a connection that looks idle to the
// node. If the node closed the connection then, the caller would get no answer and
// could not tell whether its non-idempotent request was executed.
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
	document := kqdocument.Document{
		Teams:    []kqdocument.Team{{Name: "shop"}},
		Services: []kqdocument.Service{{Name: "store", Team: "shop"}},
		Routes:   []kqdocument.Route{{Name: "store", Team: "shop", Host: "store", PathPrefix: "/", Service: "store"}},
	}
	if _, err := kqcommit.New(f.Platform).Commit(t.Context(), kqcommit.Request{ID: "one", At: time.Now(), Document: document}); err != nil {
		t.Fatal(err)
	}
	stopped := f.Servers()[1]
	var answered, failed atomic.Int64
	ctx, stop := context.WithTimeout(t.Context(), timeout)
	defer stop()
	var group conc.WaitGroup
	for i := range callers {
		group.Go(func() { sendCalls(ctx, stopped.Node.EntryAddress(), i, &answered, &failed) })
	}
	for answered.Load() < 10*callers && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	answeredBefore := answered.Load()
	stopped.Stop()
	group.Wait()
	if answered.Load() <= answeredBefore || failed.Load() > 0 {
		t.Errorf("%d calls answered, %d of them during the shutdown, want more than 0; %d failed, want 0", answered.Load(), answered.Load()-answeredBefore, failed.Load())
	}
	if err := f.Close(); err != nil {
		t.Error(err)
	}
}

// sendCalls sends calls until the node refuses connections or ctx ends. Callers pause
// for different times between their calls, so that some connections are idle at any
// moment. A response with a status other than 200 counts as neither answered nor failed,
// since the node may refuse calls while it stops.
func sendCalls(ctx context.Context, address kqname.Address, callerNumber int, answered, failed *atomic.Int64) {
	client := &fasthttp.HostClient{
		Addr: string(address), MaxConns: 1, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	for ctx.Err() == nil {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://store/")
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.Set(kqupstream.HeaderWorkID, fmt.Sprint(callerNumber))
		err := client.DoTimeout(req, resp, timeout)
		var opErr *net.OpError
		switch {
		case errors.As(err, &opErr) && opErr.Op == "dial":
			return
		case err != nil:
			failed.Add(1)
		case resp.StatusCode() == fasthttp.StatusOK:
			answered.Add(1)
		}
		time.Sleep(time.Duration(callerNumber) * 100 * time.Microsecond)
	}
}
