package kqsurvey

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqworld"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

const (
	// The baseline is what teams commonly run: five equal steps by the clock,
	// and a plain threshold on the new version's failures.
	baselineSteps     = 5
	baselineWindow    = 30
	baselineLeast     = 50
	baselineThreshold = 0.02
)

var baselineShares = [baselineSteps]float64{0.05, 0.25, 0.5, 0.75, 1}

// playBaseline runs one rollout by a timer with a plain error threshold.
func playBaseline(w *kqworld.World, prefer kqdocument.Preference) result {
	r := result{kind: w.Kind, at: -1}
	t := &trial{world: w, shown: -1, sure: alarm(prefer)}
	n := int(w.Window / time.Second)
	calls, failed := make([]float64, n), make([]float64, n)
	sumCalls, sumFailed := 0.0, 0.0
	for at := range n {
		s := w.Tick(at, baselineShares[at*baselineSteps/n], false)
		t.inform(at, s)
		r.charge(t, at, s)
		if r.at >= 0 {
			// The tick that it takes until no call goes by the old share.
			break
		}
		for i := range s.Sample {
			calls[at] += float64(s.Sample[i].New.Calls)
			failed[at] += float64(s.Sample[i].New.Failed)
		}
		sumCalls += calls[at]
		sumFailed += failed[at]
		if at >= baselineWindow {
			sumCalls -= calls[at-baselineWindow]
			sumFailed -= failed[at-baselineWindow]
		}
		if sumCalls >= baselineLeast && sumFailed > baselineThreshold*sumCalls {
			r.at = at + lag
		}
	}
	r.right = (r.at < 0) == w.Kind.Good()
	return r
}
