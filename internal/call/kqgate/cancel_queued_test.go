package kqgate_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Guards against running a queued call whose caller disconnects just before the call gets
// a slot. The upstream would do work that nobody waits for, or run a call that was reported
// as not run.
func TestQueuedCallOfDisconnectedCallerDoesNotRun(t *testing.T) {
	var runs atomic.Int32
	finish := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		<-finish
		fmt.Fprint(w, "ran")
	}))
	defer server.Close()
	local := kqlocal.New(time.Minute, func([]kqmember.Upstream) {})
	a := kqlocal.Announcement{Service: "store", Version: "v1", Address: kqname.Address(server.Listener.Addr().String()), Slots: 1}
	if err := local.Announce(a, time.Now()); err != nil {
		t.Fatal(err)
	}
	g := kqgate.New(local)
	var group conc.WaitGroup
	group.Go(func() { g.Do(newCall("/")) })
	for runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	queued := newCall("/")
	// The gate calls CheckCaller after the wait in the queue.
	queued.CheckCaller = func() { queued.Cancel.Trigger(kqcall.Cancelled) }
	var o kqcall.Outcome
	group.Go(func() { o, _ = g.Do(queued) })
	time.Sleep(50 * time.Millisecond)
	close(finish)
	group.Wait()
	if o.Result != kqcall.NotRun || o.Reason != kqcall.Cancelled {
		t.Errorf("queued call ended as %+v, want cancelled and not run", o)
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("%d calls ran, want only the first", n)
	}
}
