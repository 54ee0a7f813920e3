package kqnotable_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/run/kqnotable"
)

// A node is stopped in a storm of failing calls, whose lines push the line of the
// signal out of what is collected. The event is told again with its age, for a minute,
// and a fleet's restart does not make the list grow without bound.
func TestEventsAreToldAgainForAWhile(t *testing.T) {
	start := time.Unix(1000, 0)
	var n kqnotable.Notable
	for i := range 30 {
		n.Add(fmt.Sprintf("event %d", i), start.Add(time.Duration(i)*time.Second))
	}
	got := n.Fresh(start.Add(40 * time.Second))
	if len(got) != 12 || got[0] != "event 18 (22.0 s ago)" || !strings.HasPrefix(got[11], "event 29") {
		t.Errorf("told %q, want the last twelve with their ages", got)
	}
	if got := n.Fresh(start.Add(2 * time.Minute)); len(got) != 0 {
		t.Errorf("told %q two minutes later, want nothing", got)
	}
}
