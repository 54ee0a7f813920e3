package kqplacement_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqplacement"
)

// mesh returns the settings of the mesh of 61 VMs.
func mesh(p kqplacement.Policy, load float64, seed uint64) kqplacement.Settings {
	return kqplacement.Settings{
		Policy: p, Upstreams: 28, Slots: 12, Entries: 61, Domains: 3, Load: load, HasSlowPeriods: true,
		Warmup: 5 * time.Second, Length: 15 * time.Second, Seed: seed, ComfortableShare: 0.6,
	}
}

// play runs the settings and logs the row of docs/design/placement-by-reports.md.
func play(t testing.TB, s kqplacement.Settings) kqplacement.Result {
	t.Helper()
	r := kqplacement.Run(s)
	t.Logf("| %.2f | %s | %d | %d | %d | %.4f | %d | %.3f | %.3f |", s.Load, s.Policy, s.Seed,
		r.Mean.Milliseconds(), r.P99.Milliseconds(), r.InTime, r.Herd, float64(r.Refused)/float64(r.Calls), r.Crossed)
	return r
}

// Reports must be worth their use: at each load, more calls in time and a lower mean than
// with the estimate without them, and hardly more calls sent to one upstream at once.
func TestReportsBeatNoReports(t *testing.T) {
	for _, load := range []float64{0.6, 0.85, 1} {
		with, without := mesh(kqplacement.WithReports, load, 1), mesh(kqplacement.LeastWait, load, 1)
		with.Length, without.Length = 6*time.Second, 6*time.Second
		a, b := play(t, with), play(t, without)
		if a.InTime <= b.InTime || a.Mean >= b.Mean {
			t.Errorf("load %.2f: with reports %.4f in time, mean %v; without %.4f, %v", load, a.InTime, a.Mean, b.InTime, b.Mean)
		}
		if limit := b.Herd + 3; a.Herd > limit {
			t.Errorf("load %.2f: %d calls to one upstream within 20 ms, want at most %d", load, a.Herd, limit)
		}
	}
}

// Demand that peaks in one domain after another must spread to the others in time, and entries
// must not change sides with every call. With the limit of upstreams without reports, 0.9697
// and 0.9718 of the calls were in time.
func TestWavesSpreadOverDomains(t *testing.T) {
	for _, domains := range []int{2, 3} {
		s := waves(kqplacement.WithReports, 0.85, domains)
		r := play(t, s)
		t.Logf("%d domains: %.3f of the attempts left their domain, %.3f changed sides", domains, r.Crossed, r.Switched)
		if r.InTime < 0.985 || r.Crossed > 0.35 || r.Switched > 0.2 {
			t.Errorf("%d domains: %.4f in time, %.3f left their domain, %.3f changed sides, want at least 0.985 and at most 0.35 and 0.2", domains, r.InTime, r.Crossed, r.Switched)
		}
	}
}

// waves returns the settings of the mesh with demand in waves.
func waves(p kqplacement.Policy, load float64, domains int) kqplacement.Settings {
	s := mesh(p, load, 1)
	s.Domains, s.Wave, s.WavePeriod, s.Length = domains, 0.55, 8*time.Second, 16*time.Second
	return s
}

// BenchmarkWaves prints the table of waves of docs/design/placement-by-reports.md with -v.
func BenchmarkWaves(b *testing.B) {
	for b.Loop() {
		for _, domains := range []int{2, 3} {
			for _, load := range []float64{0.6, 0.85, 1} {
				for _, p := range []kqplacement.Policy{kqplacement.LeastWait, kqplacement.WithReports} {
					r := play(b, waves(p, load, domains))
					b.Logf("%d domains, changed sides %.3f", domains, r.Switched)
				}
			}
		}
	}
}

// BenchmarkPolicies prints the table of docs/design/placement-by-reports.md with -v. The last
// row of each load shows what is left if upstreams never state a slowdown.
func BenchmarkPolicies(b *testing.B) {
	for b.Loop() {
		for _, load := range []float64{0.6, 0.85, 1} {
			for _, p := range []kqplacement.Policy{
				kqplacement.Random, kqplacement.FewestRunning, kqplacement.TwoChoices, kqplacement.LeastWait, kqplacement.GateOnly, kqplacement.WithReports,
			} {
				for seed := range uint64(3) {
					play(b, mesh(p, load, seed+1))
				}
			}
			for seed := range uint64(3) {
				s := mesh(kqplacement.WithReports, load, seed+1)
				s.Report = func(_ int, r kqcall.ServerReport) kqcall.ServerReport { r.Slowdown = 1; return r }
				play(b, s)
			}
		}
	}
}

// An upstream that always reports to be far slower than it is, or usual speed while it is
// slow, must neither attract many calls by it nor lose many compared with one whose slowdown
// is not stated, which is judged by durations alone.
func TestLiesChangeLittle(t *testing.T) {
	const liar = 5
	lies := map[string]func(kqcall.ServerReport) float64{
		"silent":                  func(kqcall.ServerReport) float64 { return 0 },
		"always 100 times slower": func(kqcall.ServerReport) float64 { return 100 },
		"never slow":              func(kqcall.ServerReport) float64 { return 1 },
		"slow when it is not": func(r kqcall.ServerReport) float64 {
			if r.Slowdown == 1 {
				return 100
			}
			return 1
		},
	}
	for _, seed := range []uint64{1, 4} {
		results := make(map[string]kqplacement.Result)
		for name, lie := range lies {
			s := mesh(kqplacement.WithReports, 0.6, seed)
			s.Report = func(upstream int, r kqcall.ServerReport) kqcall.ServerReport {
				if upstream == liar {
					r.Slowdown = lie(r)
				}
				return r
			}
			results[name] = kqplacement.Run(s)
		}
		honest := kqplacement.Run(mesh(kqplacement.WithReports, 0.6, seed))
		for name, r := range results {
			t.Logf("seed %d: %s: %d calls (honest %d), in time %.4f (%.4f)", seed, name, r.ByUpstream[liar], honest.ByUpstream[liar], r.InTime, honest.InTime)
			silent := results["silent"].ByUpstream[liar]
			low, high := min(silent, honest.ByUpstream[liar]), max(silent, honest.ByUpstream[liar])
			if got := r.ByUpstream[liar]; float64(got) < 0.6*float64(low) || float64(got) > 1.3*float64(high) {
				t.Errorf("seed %d: %s: %d calls, want at least 0.6 of %d and at most 1.3 of %d", seed, name, got, low, high)
			}
			if r.InTime < honest.InTime-0.005 {
				t.Errorf("seed %d: %s: %.4f in time, want at most 0.005 less than %.4f", seed, name, r.InTime, honest.InTime)
			}
		}
	}
}
