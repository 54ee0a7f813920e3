package kqshed

import (
	"math/rand/v2"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

const (
	halfLife = time.Second
	// minCalls is the number of calls in the window below which nothing is shed.
	minCalls = 20
)

type (
	// Shedder sheds the load of one service. It is not safe for concurrent use.
	Shedder struct {
		classes [3]window
	}

	window struct {
		// late counts the calls that could no longer meet their targets.
		calls, late, refused float64
		since                time.Time
	}
)

// factors are the multiples of accepted load that are sent to the gates, by class rank.
var factors = [3]float64{4, 3, 2}

// New returns a Shedder without data.
func New() *Shedder { return &Shedder{} }

// Refuse counts a call of the class and reports whether to refuse it. late is set if the
// call can no longer meet its target.
func (s *Shedder) Refuse(c kqdocument.Class, late bool, now time.Time, random *rand.Rand) bool {
	i := c.Rank()
	w := &s.classes[i]
	w.decay(now)
	w.calls++
	if late {
		w.late++
	}
	if w.calls < minCalls || random.Float64() >= w.shedProbability(factors[i], late) {
		return false
	}
	w.refused++
	return true
}

// Refused counts a call that a gate refused for load.
func (s *Shedder) Refused(c kqdocument.Class) { s.classes[c.Rank()].refused++ }

// shedProbability returns the probability with which to refuse such a call. The excess
// load is taken from late calls first.
func (w *window) shedProbability(factor float64, late bool) float64 {
	taken := w.calls - w.refused
	excess := w.calls - factor*taken
	if late {
		return excess / w.late
	}
	return (excess - w.late) / max(w.calls-w.late, 1)
}

func (w *window) decay(now time.Time) {
	if w.since.IsZero() {
		w.since = now
	}
	for now.Sub(w.since) >= halfLife && w.calls > 0.5 {
		w.calls, w.late, w.refused, w.since = w.calls/2, w.late/2, w.refused/2, w.since.Add(halfLife)
	}
	if now.Sub(w.since) >= halfLife {
		w.calls, w.late, w.refused, w.since = 0, 0, 0, now
	}
}
