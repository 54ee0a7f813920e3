package kqsoakcheck_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoakcheck"
)

// Guards against soak runs that miss calls in an evacuated failure domain, or report those that
// were sent in time or whose nodes could not know.
func TestCheckerOfEvacuations(t *testing.T) {
	for name, c := range map[string]struct {
		observe func(*kqsoakcheck.Checker)
		want    int
	}{
		"sent long after the order":  {func(*kqsoakcheck.Checker) {}, 1},
		"another node":               {func(ck *kqsoakcheck.Checker) { ck.EvacuationEnded(2); ck.Evacuated(3, second) }, 0},
		"after the evacuation ended": {func(ck *kqsoakcheck.Checker) { ck.EvacuationEnded(2) }, 0},
		"ordered a moment ago":       {func(ck *kqsoakcheck.Checker) { ck.Evacuated(2, 6*second) }, 0},
		"the store was away":         {func(ck *kqsoakcheck.Checker) { ck.Disruption(kqsoakcheck.Store, 2*second)(3 * second) }, 0},
		"the entry was cut off":      {func(ck *kqsoakcheck.Checker) { ck.Disruption(1, 2*second)(3 * second) }, 0},
		"another node was cut off":   {func(ck *kqsoakcheck.Checker) { ck.Disruption(3, 2*second)(3 * second) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			ck := kqsoakcheck.New()
			ck.Evacuated(2, second)
			c.observe(ck)
			ck.CallSent("a", true, 1, 10*second)
			ck.Began("a", "u", 2, 10*second+50*time.Millisecond)
			if v := ck.Violations(); len(v) != c.want {
				t.Errorf("violations %+v, want %d", v, c.want)
			}
		})
	}
}
