//go:build kqfault

package main_test

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqfault"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoakcheck"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoakrun"
)

// faultSeeds is the number of seeds within which the soak must find a fault. Whether a
// run triggers it depends on the calls that happen to be in flight.
const faultSeeds = 4

// Checks that the soak detects injected faults, each by its kind of violation: a node
// that a reload ends during its drain, non-idempotent calls that run twice when a node or
// an upstream dies, calls that begin at a draining upstream long after its node has
// acknowledged that it drains (its goodbye) or its answers have said so, and limits of
// upstreams that are ignored or outlive their end, calls to cold upstreams beyond what they bear,
// calls into evacuated failure domains, requests that are sent on although upstreams ended under
// them, and usual requests that are refused for that.
func TestSoakFindsFaultsPutInOnPurpose(t *testing.T) {
	// Processes inherit an ignored SIGHUP, and would not end by it.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	for _, c := range []struct {
		fault     kqfault.Kind
		arguments []string
		want      kqsoakcheck.Kind
	}{
		{kqfault.IgnoreReload, []string{"--planned"}, kqsoakcheck.WrongExit},
		{kqfault.RetryNonIdempotent, nil, kqsoakcheck.Twice},
		{kqfault.IgnoreDraining, []string{"--planned"}, kqsoakcheck.Late},
		{kqfault.IgnoreLimit, []string{"--planned"}, kqsoakcheck.OverLimit},
		{kqfault.KeepLimit, []string{"--planned"}, kqsoakcheck.StaleLimit},
		{kqfault.IgnoreLeaving, []string{"--planned"}, kqsoakcheck.Late},
		{kqfault.IgnoreCold, []string{"--planned"}, kqsoakcheck.TooManyCold},
		{kqfault.IgnoreEvacuation, []string{"--planned"}, kqsoakcheck.InEvacuated},
		{kqfault.ForgetEnds, []string{"--planned"}, kqsoakcheck.SentOn},
		{kqfault.TellNobody, []string{"--planned"}, kqsoakcheck.SentOn},
		{kqfault.BlameAll, nil, kqsoakcheck.Blamed},
	} {
		t.Run(string(c.fault), func(t *testing.T) {
			t.Parallel()
			for seed := 1; seed <= faultSeeds; seed++ {
				arguments := append([]string{"--seed", fmt.Sprint(seed), "--for", "20s"}, c.arguments...)
				r, err := soak(t, kqfault.EnvVariable+"="+string(c.fault), arguments...)
				if err != nil && kinds(r)[c.want] > 0 {
					t.Logf("seed %d found %v after %.1f s", seed, kinds(r), r.Seconds)
					return
				}
			}
			t.Errorf("no run of %d seeds found %s", faultSeeds, c.want)
		})
	}
}

// kinds counts the violations of a run by kind.
func kinds(r kqsoakrun.Report) map[kqsoakcheck.Kind]int {
	found := make(map[kqsoakcheck.Kind]int)
	for _, v := range r.Violations {
		found[v.Kind]++
	}
	return found
}
