package kqnesting_test

import (
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqnesting"
)

// Guards against forgetting a call that is sent to the same upstream twice when the
// first run ends: calls made by the second run must still be recognized as nested. Once
// both have ended, the id must no longer be accepted as a parent.
func TestCallIsFoundUntilItsLastRunEnds(t *testing.T) {
	c := kqnesting.New()
	first := &kqcall.Call{ID: "a", Caller: "10.0.0.1", Depth: 1}
	second := &kqcall.Call{ID: "a", Caller: "10.0.0.1", Depth: 1, Repeat: true}
	c.Begin(first)
	c.Begin(second)
	c.End("a")
	if parent, ok := c.Find("a"); !ok || parent != (kqnesting.Parent{Caller: "10.0.0.1", Depth: 1, Repeat: true}) {
		t.Errorf("found parent %+v, %v; want that of the second run", parent, ok)
	}
	c.End("a")
	if _, ok := c.Find("a"); ok {
		t.Error("a call whose runs have all ended is still found")
	}
}
