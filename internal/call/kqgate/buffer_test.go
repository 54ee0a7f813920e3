package kqgate_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
)

// Guards against a slot that stays in use until a slow caller has received a large response,
// and against one that ends early and looks complete.
func TestLargeResponseFreesItsSlot(t *testing.T) {
	const size = 300 << 10
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(size))
		if r.URL.Path == "/short" {
			fmt.Fprint(w, strings.Repeat("a", size/2))
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, strings.Repeat("a", size))
	}))
	defer server.Close()
	g := kqgate.New(announceServer(t, server))
	var calls []*kqcall.Call
	for i := range 3 {
		c := newCall("/")
		o, load := g.Do(c)
		if o != kqcall.OK() || load.Running != 0 {
			t.Fatalf("call %d ended as %+v with %d running, want answered and none while no response has been read", i, o, load.Running)
		}
		calls = append(calls, c)
	}
	for i, c := range calls {
		body, err := io.ReadAll(c.Response.BodyStream())
		if err != nil || len(body) != size {
			t.Errorf("response %d has %d bytes, %v, want %d", i, len(body), err, size)
		}
		if err := c.Response.CloseBodyStream(); err != nil {
			t.Error(err)
		}
	}
	if o, _ := g.Do(newCall("/short")); o.Result != kqcall.Unknown || o.Reason != kqcall.Cut {
		t.Errorf("a response that ends early ended as %+v, want cut", o)
	}
}
