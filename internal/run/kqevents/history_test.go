package kqevents_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/run/kqevents"
)

// While many calls fail, their log lines push the line of a signal out of what log
// collectors keep. Events must be repeated with their ages for a minute, and the list must
// stay bounded when a whole fleet restarts.
func TestRecentEventsAreRepeatedForAMinute(t *testing.T) {
	start := time.Unix(1000, 0)
	var h kqevents.History
	for i := range 30 {
		h.Add(fmt.Sprintf("event %d", i), start.Add(time.Duration(i)*time.Second))
	}
	got := h.Recent(start.Add(40 * time.Second))
	if len(got) != 12 || got[0] != "event 18 (22.0 s ago)" || !strings.HasPrefix(got[11], "event 29") {
		t.Errorf("got %q, want the last twelve events with their ages", got)
	}
	if got := h.Recent(start.Add(2 * time.Minute)); len(got) != 0 {
		t.Errorf("got %q two minutes later, want no events", got)
	}
}
