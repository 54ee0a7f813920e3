package kqgate_test

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
)

// Guards against calls that wait at a gate whose failure domain is evacuated, and run after
// that.
func TestEvacuatedGateRefusesWaitingCalls(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	var mu sync.Mutex
	isEvacuated := false
	g := kqgate.New(announceServer(t, server), kqgate.WithEvacuation(func() bool {
		mu.Lock()
		defer mu.Unlock()
		return isEvacuated
	}))
	results := make(chan kqcall.Outcome, 2)
	for range 2 {
		go func() {
			o, _ := g.Do(newCall("/"))
			results <- o
		}()
		time.Sleep(50 * time.Millisecond)
	}
	mu.Lock()
	isEvacuated = true
	mu.Unlock()
	g.Sweep(time.Now())
	if o := <-results; o.Result != kqcall.NotRun || o.Reason != kqcall.Evacuated {
		t.Errorf("the waiting call ended as %+v, want refused as evacuated", o)
	}
	if o, _ := g.Do(newCall("/")); o.Reason != kqcall.Evacuated {
		t.Errorf("a new call ended as %+v, want refused as evacuated", o)
	}
	close(release)
	if o := <-results; o.Result != kqcall.Answered {
		t.Errorf("the running call ended as %+v, want answered", o)
	}
}
