package kqwork_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqwork"
)

// Some calls need hardly any work, such as probes or immediate failures, and several of
// them may come in a row. If they made the upstream look many times faster, all entries
// would send it their calls, which would wait there past their deadlines while other
// upstreams are idle.
func TestTinyCallsBarelyLowerPace(t *testing.T) {
	w := kqwork.New()
	for range 100 {
		w.Observe("gallery", 380*time.Millisecond)
	}
	for range 8 {
		w.Observe("probe", 2*time.Millisecond)
	}
	if got := w.Pace(); got < 190*time.Millisecond {
		t.Errorf("after 8 tiny calls the pace is %v, want at least half of 380 ms", got)
	}
}

// An upstream becomes five times slower. The pace must show this after few calls, since
// calls sent there meanwhile wait five times as long.
func TestPaceRisesWithFirstSlowCall(t *testing.T) {
	w := kqwork.New()
	for range 100 {
		w.Observe("gallery", 100*time.Millisecond)
	}
	w.Observe("gallery", 500*time.Millisecond)
	if got := w.Pace(); got < 200*time.Millisecond {
		t.Errorf("after one call of five times the work the pace is %v, want at least twice 100 ms", got)
	}
}
