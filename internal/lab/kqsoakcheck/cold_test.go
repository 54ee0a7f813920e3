package kqsoakcheck_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoakcheck"
)

// Guards against soak runs that miss too many calls at a cold upstream, or report what it bears.
func TestCheckerOfColdUpstreams(t *testing.T) {
	for name, c := range map[string]struct {
		calls int
		from  time.Duration
		want  int
	}{
		"as many as it bears": {10, second, 0},
		"one more":            {11, second, 1},
		"warm":                {30, 4 * second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			ck := kqsoakcheck.New()
			ck.Cold("u", 10, 3*second)
			runMany(ck, 1, c.calls, c.from, c.from+900*time.Millisecond)
			if v := ck.Violations(); len(v) != c.want {
				t.Errorf("violations %+v, want %d", v, c.want)
			}
		})
	}
}
