package kqgate_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Guards against refusing queued calls after another version has taken over an upstream's
// address. If the gate kept the new version's calls under the old version, each sweep, four
// times a second, would take the upstream for one that is no longer announced and refuse
// all waiting calls.
func TestAddressTakenOverByAnotherVersion(t *testing.T) {
	finish := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-finish
		}
		fmt.Fprint(w, "ran")
	}))
	defer server.Close()
	address := kqname.Address(server.Listener.Addr().String())
	local := kqlocal.New(time.Minute, func([]kqmember.Upstream) {})
	announce := func(v kqname.UpstreamVersion) {
		if err := local.Announce(kqlocal.Announcement{Service: "store", Version: v, Address: address, Slots: 1}, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	g := kqgate.New(local)
	do := func(path string) kqcall.Outcome {
		o, _ := g.Do(newCall(path))
		return o
	}
	announce("v1")
	if o := do("/"); o != kqcall.OK() {
		t.Fatalf("call to the first version ended as %+v, want answered", o)
	}
	announce("v2")
	var group sync.WaitGroup
	outcomes := make([]kqcall.Outcome, 2)
	for i, path := range []string{"/slow", "/"} {
		group.Go(func() { outcomes[i] = do(path) })
		time.Sleep(100 * time.Millisecond)
	}
	g.Sweep(time.Now())
	close(finish)
	group.Wait()
	for i, o := range outcomes {
		if o != kqcall.OK() {
			t.Errorf("call %d ended as %+v, want the new version's answer", i, o)
		}
	}
}
