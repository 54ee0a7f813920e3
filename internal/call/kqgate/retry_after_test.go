package kqgate_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
)

// Guards against callers who are not told when an upstream that refuses their call wants them
// back, or are told something that it did not say.
func TestRefusedCallersHearTheUpstreamsRetryAfter(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"2": 2 * time.Second, "0.5": 500 * time.Millisecond, "": 0, "-1": 0, "soon": 0, "NaN": 0, "1e400": 0, "86400": 10 * time.Minute,
		"Wed, 21 Oct 2015 07:28:00 GMT": 0,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", text)
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		g := kqgate.New(announceServer(t, server))
		c := newCall("/")
		c.RefusalMeansNotRun = true
		o, _ := g.Do(c)
		server.Close()
		if o.Reason != kqcall.RefusedByUpstream || o.RetryAfter != want {
			t.Errorf("Retry-After %q: call ended as %+v, want shed with %v to wait", text, o, want)
		}
	}
}

// Guards against a call that meets a node just when it begins to stop, and whose caller is not told
// when to come back.
func TestDrainingGateNamesATimeToComeBack(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	g := kqgate.New(announceServer(t, server))
	g.Drain()
	if o, _ := g.Do(newCall("/")); o.Result != kqcall.NotRun || o.Reason != kqcall.Draining || o.RetryAfter < time.Second {
		t.Errorf("ended as %+v, want not_run, draining, with a Retry-After of a second at least", o)
	}
}
