package kqverdict_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqstep"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqverdict"
)

const (
	// ticksPerSecond is about how often an ordered rollout of 15 s evaluates its evidence.
	ticksPerSecond = 7
	callsPerTick   = 10
)

// randomCell returns the calls of one version in one tick; each fails with
// probability failureRate.
func randomCell(random *rand.Rand, calls int, failureRate float64) kqevidence.Cell {
	var c kqevidence.Cell
	for range calls {
		c.Count(typicalCall, random.Float64() < failureRate)
	}
	return c
}

func pair(old, next kqevidence.Cell) kqevidence.Sample {
	return kqevidence.Sample{{Route: "route", Old: old, New: next}}
}

// Guards against a bad version that is not rolled back because the old version has no
// upstreams for a while and so no calls to compare with.
func TestBadVersionIsDetectedWithoutCurrentOldCalls(t *testing.T) {
	plan := kqplan.Plan{Duration: 15 * time.Second}
	for _, failureRate := range []float64{0.4, 0.5, 1} {
		for seed := range uint64(runs) {
			random := rand.New(rand.NewPCG(seed, 2))
			evaluator := kqverdict.New()
			for range 2 * ticksPerSecond {
				evaluator.Observe(pair(randomCell(random, callsPerTick, 0.01), kqevidence.Cell{}))
			}
			detected := false
			for range 3 * ticksPerSecond {
				evaluator.Observe(pair(kqevidence.Cell{}, randomCell(random, callsPerTick, failureRate)))
				detected = detected || kqstep.IsBad(plan, evaluator.Finding())
			}
			if !detected {
				t.Errorf("failure rate %.0f%%, seed %d: not rolled back, %s", 100*failureRate, seed, kqstep.Describe(evaluator.Finding()))
			}
		}
	}
}

// Guards against the rollback of a good version because the old one has no calls, or
// because a fault that affects both versions fails its calls for one second.
func TestGoodVersionIsKeptWithoutCurrentOldCalls(t *testing.T) {
	plan := kqplan.Plan{Duration: 15 * time.Second}
	for seed := range uint64(runs) {
		random := rand.New(rand.NewPCG(seed, 3))
		evaluator := kqverdict.New()
		for range 2 * ticksPerSecond {
			evaluator.Observe(pair(randomCell(random, callsPerTick, 0.01), kqevidence.Cell{}))
		}
		for i := range 6 * ticksPerSecond {
			failureRate := 0.01
			if i/ticksPerSecond == 2 {
				failureRate = 0.5
			}
			evaluator.Observe(pair(kqevidence.Cell{}, randomCell(random, callsPerTick, failureRate)))
			if kqstep.IsBad(plan, evaluator.Finding()) {
				t.Fatalf("seed %d: rolled back after %d ticks, %s", seed, i, kqstep.Describe(evaluator.Finding()))
			}
		}
	}
}

// Guards against the loss of evidence when the node that evaluates it stops: the next
// one gets the counts of many ticks in its first one, before it has a baseline of the
// old version.
func TestBacklogOfEvidenceIsEvaluated(t *testing.T) {
	plan := kqplan.Plan{Duration: 15 * time.Second}
	random := rand.New(rand.NewPCG(1, 4))
	for _, c := range []struct {
		failureRate float64
		bad         bool
	}{{0.5, true}, {0.01, false}, {0.1, false}} {
		evaluator := kqverdict.New()
		evaluator.Observe(pair(randomCell(random, 300, 0.01), randomCell(random, 200, c.failureRate)))
		if f := evaluator.Finding(); kqstep.IsBad(plan, f) != c.bad {
			t.Errorf("%.0f%% of 200 calls failed, and 1%% of 300 of the old version's: %s", 100*c.failureRate, kqstep.Describe(f))
		}
	}
}

// Guards against the rollback of a good version as too slow after its first few calls with
// a latency. The old version's earlier calls were on upstreams that had just started; their
// latencies do not count, so that the spread of the latencies was not known yet.
func TestFirstLatenciesAreNotComparedWithoutASpread(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 6))
	worst := kqverdict.Finding{}
	for range runs {
		evaluator := kqverdict.New()
		for range 10 {
			evaluator.Observe(pair(untimedCell(callsPerTick), untimedCell(1)))
		}
		for range 3 {
			evaluator.Observe(pair(randomLatencies(random, callsPerTick), randomLatencies(random, 2)))
			if f := evaluator.Finding(); f.Recent > worst.Recent {
				worst = f
			}
		}
	}
	if worst.Recent > 0.5 {
		t.Errorf("evidence of e^%.1f (%s) after 6 calls with the latency distribution of the old version", worst.Recent, worst.WorstMetric)
	}
}

func untimedCell(calls int) kqevidence.Cell {
	var c kqevidence.Cell
	for range calls {
		c.CountUntimed(false)
	}
	return c
}

func randomLatencies(random *rand.Rand, calls int) kqevidence.Cell {
	var c kqevidence.Cell
	for range calls {
		c.Count(time.Duration(float64(typicalCall)*math.Exp(0.7*random.NormFloat64())), false)
	}
	return c
}
