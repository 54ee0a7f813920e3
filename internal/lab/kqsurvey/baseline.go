package kqsurvey

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqrolloutsim"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

const (
	// The baseline is a common rollout procedure: five steps of equal length and a
	// fixed threshold on the new version's error rate in a sliding window. The threshold
	// applies once the window has baselineMinCalls calls. Calls that are also counted
	// under kqevidence.ColdUpstreams count twice, which lowers their error rate.
	baselineSteps        = 5
	baselineWindowTicks  = 30
	baselineMinCalls     = 50
	baselineMaxErrorRate = 0.02
)

var baselineShares = [baselineSteps]float64{0.05, 0.25, 0.5, 0.75, 1}

// simulateBaseline runs one rollout with the baseline's schedule and threshold. prefer
// affects only the oracle, from whose detection the bad seconds and calls count.
func simulateBaseline(w *kqrolloutsim.World, prefer kqdocument.Preference) result {
	r := result{kind: w.Kind, at: -1}
	t := &trial{world: w, detectedAt: -1, threshold: detectionThreshold(prefer)}
	n := int(w.Window / time.Second)
	calls, failed := make([]float64, n), make([]float64, n)
	sumCalls, sumFailed := 0.0, 0.0
	for at := range n {
		s := w.Tick(at, baselineShares[at*baselineSteps/n], false)
		t.observe(at, s)
		r.recordBadTick(t, at, s)
		if r.at >= 0 {
			// This tick's traffic was recorded because the new version still gets calls
			// for propagationTicks after the decision to roll back.
			break
		}
		for i := range s.Sample {
			calls[at] += float64(s.Sample[i].New.Calls)
			failed[at] += float64(s.Sample[i].New.Failed)
		}
		sumCalls += calls[at]
		sumFailed += failed[at]
		if at >= baselineWindowTicks {
			sumCalls -= calls[at-baselineWindowTicks]
			sumFailed -= failed[at-baselineWindowTicks]
		}
		if sumCalls >= baselineMinCalls && sumFailed > baselineMaxErrorRate*sumCalls {
			r.at = at + propagationTicks
		}
	}
	r.correct = (r.at < 0) == w.Kind.Good()
	return r
}
