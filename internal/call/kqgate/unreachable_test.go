package kqgate_test

import (
	"net"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Guards against sending calls to an upstream that accepts no connections. The calls would
// fail, and a good version would be rolled back if its small share of traffic went to that
// upstream alone.
func TestUnreachableUpstreamIsWithdrawn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := kqname.Address(l.Addr().String())
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	var published []kqmember.Upstream
	local := kqlocal.New(time.Minute, func(list []kqmember.Upstream) { published = list })
	if err := local.Announce(kqlocal.Announcement{Service: "store", Version: "v1", Address: address, Slots: 1}, time.Now()); err != nil {
		t.Fatal(err)
	}
	g := kqgate.New(local, kqgate.WithWithdrawer(local))
	do := func() {
		if o, _ := g.Do(newCall("/")); o.Reason != kqcall.ConnectFailed {
			t.Fatalf("call ended as %+v, want connect_failed", o)
		}
	}
	do()
	if len(published) != 1 {
		t.Fatal("upstream is no longer published after a single failed connection")
	}
	// Longer than kqgate's unreachableAfter.
	time.Sleep(150 * time.Millisecond)
	do()
	if len(published) != 0 {
		t.Error("upstream is still published after connections have failed for 150 ms")
	}
}
