package kqgate_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// newCall returns a call to the path of the service "store" with a deadline in 10 s.
func newCall(path string) *kqcall.Call {
	c := &kqcall.Call{
		Service: "store", Request: &fasthttp.Request{}, Response: &fasthttp.Response{}, Cancel: &kqcall.Cancel{},
		Arrived: time.Now(), Deadline: time.Now().Add(10 * time.Second),
	}
	c.Request.Header.SetRequestURI(path)
	c.Request.Header.SetHost("store")
	return c
}

// announceServer returns the local upstreams, of which the server is the only one, with a
// single slot.
func announceServer(t *testing.T, server *httptest.Server) *kqlocal.Upstreams {
	t.Helper()
	local := kqlocal.New(time.Minute, func([]kqmember.Upstream) {})
	a := kqlocal.Announcement{Service: "store", Version: "v1", Address: kqname.Address(server.Listener.Addr().String()), Slots: 1}
	if err := local.Announce(a, time.Now()); err != nil {
		t.Fatal(err)
	}
	return local
}
