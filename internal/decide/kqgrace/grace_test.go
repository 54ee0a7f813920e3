package kqgrace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqgrace"
)

func ExampleGrace() {
	var g kqgrace.Grace
	now := time.Unix(1000, 0)
	fmt.Println(g.Allows(time.Minute, now))
	g.End(now.Add(3 * time.Second))
	fmt.Println(g.Allows(2*time.Second, now), g.Allows(3*time.Second, now))
	// Output:
	// true
	// true false
}

// Guards against calls in doubt at the end of a planned stop: calls of three routes arrive all the
// time, and may take up to half longer than usual.
func TestNoCallIsCutAtTheEnd(t *testing.T) {
	for _, work := range []time.Duration{160 * time.Millisecond, time.Second, 2700 * time.Millisecond} {
		var g kqgrace.Grace
		start := time.Unix(1000, 0)
		end := start.Add(5300 * time.Millisecond)
		g.End(end)
		passed := 0
		for at := start; at.Before(end); at = at.Add(10 * time.Millisecond) {
			if !g.Allows(work, at) {
				continue
			}
			passed++
			if slowest := at.Add(work + work/2); slowest.After(end) {
				t.Fatalf("a call of %v that began %v before the end was passed on", work, end.Sub(at))
			}
		}
		if want := int((end.Sub(start) - work*3/2) / (10 * time.Millisecond)); passed < want {
			t.Errorf("%d calls of %v were passed on, want %d", passed, work, want)
		}
	}
}
