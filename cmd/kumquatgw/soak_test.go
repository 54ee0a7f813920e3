package main_test

import (
	"encoding/json"
	"path/filepath"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoakrun"
)

// soak runs the soak command with four nodes and an additional environment variable
// (name=value, or empty for none), and returns its report and the command's error.
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

// Guards against calls that are lost or run twice when a process or a connection ends, by a
// short soak with real processes. The soak must pass on a loaded server as well.
func TestSoak(t *testing.T) {
	t.Parallel()
	r, err := soak(t, "", "--seed", "4", "--for", "8s")
	if err != nil || len(r.Violations) > 0 || r.Calls.Answered == 0 {
		t.Errorf("%v, calls %+v; reproduce with: %s", err, r.Calls, r.Command)
		for _, v := range r.Violations {
			text, _ := json.Marshal(v)
			t.Errorf("%s", text)
		}
	}
}
