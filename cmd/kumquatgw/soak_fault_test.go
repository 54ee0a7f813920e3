//go:build kqfault

package main_test

import (
	"fmt"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqfault"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoakcheck"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoakrun"
)

// faultSeeds are how many seeds the soak may need to find a fault: where one is at
// work is a matter of which calls it meets.
const faultSeeds = 4

// A check that finds nothing may be blind. Each fault here is one that callers would
// notice: a node that ends while it leaves, with its calls, as its settings change;
// orders that run twice when a node or an upstream dies; calls at an upstream that
// has said goodbye. The soak must find each, by the kind of harm that it does.
func TestSoakFindsFaultsPutInOnPurpose(t *testing.T) {
	for _, c := range []struct {
		fault     kqfault.Kind
		arguments []string
		want      kqsoakcheck.Kind
	}{
		{kqfault.Reload, []string{"--planned"}, kqsoakcheck.Ended},
		{kqfault.Repeat, nil, kqsoakcheck.Twice},
		{kqfault.Goodbye, []string{"--planned"}, kqsoakcheck.Late},
	} {
		t.Run(string(c.fault), func(t *testing.T) {
			t.Parallel()
			for seed := 1; seed <= faultSeeds; seed++ {
				arguments := append([]string{"--seed", fmt.Sprint(seed), "--for", "20s"}, c.arguments...)
				r, err := soak(t, kqfault.Variable+"="+string(c.fault), arguments...)
				if err != nil && kinds(r)[c.want] > 0 {
					t.Logf("seed %d found %v after %.1f s", seed, kinds(r), r.Seconds)
					return
				}
			}
			t.Errorf("%d seeds did not find %s", faultSeeds, c.want)
		})
	}
}

// kinds are the kinds of the violations of a run.
func kinds(r kqsoakrun.Report) map[kqsoakcheck.Kind]int {
	found := make(map[kqsoakcheck.Kind]int)
	for _, v := range r.Violations {
		found[v.Kind]++
	}
	return found
}
