package kqwork_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqwork"
)

// Some calls need hardly any work: a test of whether a route is there, a failure at
// once. They come in runs. Were the upstream held to be many times faster for them,
// all entries would send their calls there: callers wait in its queue until it is too
// late for their calls, while others stand idle.
func TestCallsWithoutWorkDoNotMakeAnUpstreamFast(t *testing.T) {
	w := kqwork.New()
	for range 100 {
		w.Learn("gallery", 380*time.Millisecond)
	}
	for range 8 {
		w.Learn("probe", 2*time.Millisecond)
	}
	if got := w.Pace(); got < 190*time.Millisecond {
		t.Errorf("after 8 calls without work the pace is %v, want at least half of 380 ms", got)
	}
}

// An upstream turns five times slower. Callers who are sent there meanwhile wait five
// times as long, so that a few calls must show it.
func TestSlowUpstreamShowsAtOnce(t *testing.T) {
	w := kqwork.New()
	for range 100 {
		w.Learn("gallery", 100*time.Millisecond)
	}
	w.Learn("gallery", 500*time.Millisecond)
	if got := w.Pace(); got < 200*time.Millisecond {
		t.Errorf("after one call of five times the work the pace is %v, want at least twice 100 ms", got)
	}
}
