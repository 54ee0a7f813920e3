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

// Guards against calls of every node that meet an upstream which has died, and against a
// good version that is taken back for them: its small share goes to that one alone.
func TestDeadUpstreamIsLeftOut(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := kqname.Address(l.Addr().String())
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	var told []kqmember.Upstream
	local := kqlocal.New(time.Minute, func(list []kqmember.Upstream) { told = list })
	if err := local.Announce(kqlocal.Announcement{Service: "store", Version: "v1", Address: address, Slots: 1}, time.Now()); err != nil {
		t.Fatal(err)
	}
	g := kqgate.New(local, kqgate.WithWithdrawer(local))
	do := func() {
		if o, _ := g.Do(newCall("/")); o.Reason != kqcall.ConnectFailed {
			t.Fatalf("%+v, want no connection", o)
		}
	}
	do()
	if len(told) != 1 {
		t.Fatal("left out for one connection that failed")
	}
	time.Sleep(150 * time.Millisecond)
	do()
	if len(told) != 0 {
		t.Error("not left out though it has taken no connection for a while")
	}
}
