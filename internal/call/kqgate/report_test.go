package kqgate_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
)

// The load that entries get must state the slowdown of an upstream's answer, and must be as
// before if the answer has none that can be read.
func TestLoadStatesTheReportedSlowdown(t *testing.T) {
	for header, want := range map[string]float64{"": 0, "1,0,1": 0, "1,0,1,NaN": 0, "x,y,z,250": 2.5, "1,0,1,100": 1, "1,0,1,250": 2.5} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(20 * time.Millisecond)
			if header != "" {
				w.Header().Set(kqcall.HeaderReport, header)
			}
		}))
		defer server.Close()
		c := newCall("/")
		c.Route = "r"
		o, load := kqgate.New(announceServer(t, server)).Do(c)
		if o.Result != kqcall.Answered || load.Slowdown != want {
			t.Errorf("report %q: outcome %v, slowdown %v, want %v", header, o, load.Slowdown, want)
		}
		if got := c.Response.Header.Peek(kqcall.HeaderReport); len(got) > 0 {
			t.Errorf("the caller gets the report %q", got)
		}
	}
}
