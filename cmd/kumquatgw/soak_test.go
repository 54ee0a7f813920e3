package main_test

import (
	"encoding/json"
	"path/filepath"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoakrun"
)

// soak runs a short soak and returns what it found. What it leaves is told where
// something does not hold.
func soak(t *testing.T, environment string, arguments ...string) (kqsoakrun.Report, error) {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "kept")
	c := command(t, append([]string{"soak", "--nodes", "4", "--json", "--folder", folder}, arguments...)...)
	c.Env = append(c.Env, environment)
	out, err := c.Output()
	var r kqsoakrun.Report
	if e := json.Unmarshal(out, &r); e != nil {
		t.Fatalf("%v, %v: %s", err, e, out)
	}
	return r, err
}

// A process or a connection ends while calls are at work, and callers lose them, or
// have them run twice. The soak plays that with the real programs; what its callers
// and upstreams see must hold on a busy machine as well.
func TestSoak(t *testing.T) {
	t.Parallel()
	r, err := soak(t, "", "--seed", "4", "--for", "8s")
	if err != nil || len(r.Violations) > 0 || r.Calls.Answered == 0 {
		t.Errorf("%v, calls %+v, play it again: %s", err, r.Calls, r.Command)
		for _, v := range r.Violations {
			text, _ := json.Marshal(v)
			t.Errorf("%s", text)
		}
	}
}
