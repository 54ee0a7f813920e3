package kqgate_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
)

// Guards against calls that a busy gate reads after their entry has cancelled them, and sends all the same.
func TestCallCancelledBeforeTheGateReadsItDoesNotRun(t *testing.T) {
	var runs atomic.Int32
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		fmt.Fprint(w, "ran")
	}))
	defer upstream.Close()
	g := kqgate.New(announceServer(t, upstream))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sent := newCall("/x")
	sent.ID = "0123456789abcdef"
	sent.Write(time.Now())
	var request bytes.Buffer
	if _, err := sent.Request.WriteTo(&request); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(request.Bytes()); err != nil {
		t.Fatal(err)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	handled := make(chan struct{}, 1)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		g.Serve(ctx)
		handled <- struct{}{}
	}}
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(l) })
	select {
	case <-handled:
	case <-time.After(5 * time.Second):
		t.Error("the call was not read")
	}
	_ = server.Shutdown()
	group.Wait()
	if n := runs.Load(); n != 0 {
		t.Errorf("the call ran %d times, want not at all", n)
	}
}
