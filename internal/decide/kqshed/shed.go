package kqshed

import (
	"math/rand/v2"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

const (
	halfLife = time.Second
	// fewest calls in the window make a judgement.
	fewest = 20
)

type (
	// Shedder decides for one service. It is not safe for concurrent use.
	Shedder struct {
		classes [3]window
	}

	window struct {
		// tardy counts those of the calls that could not make their targets any more.
		calls, tardy, refused float64
		since                 time.Time
	}
)

var factors = [3]float64{4, 3, 2}

// New returns a shedder that has seen no call.
func New() *Shedder { return &Shedder{} }

// Refuse reports whether a call of the class is to be refused, and counts it; tardy tells
// that it cannot make its target any more.
func (s *Shedder) Refuse(c kqdocument.Class, tardy bool, now time.Time, random *rand.Rand) bool {
	i := c.Rank()
	w := &s.classes[i]
	w.age(now)
	w.calls++
	if tardy {
		w.tardy++
	}
	if w.calls < fewest || random.Float64() >= w.share(factors[i], tardy) {
		return false
	}
	w.refused++
	return true
}

// Refused counts a call that a gate refused for load.
func (s *Shedder) Refused(c kqdocument.Class) { s.classes[c.Rank()].refused++ }

// share returns the part of such calls that is to be refused: what is too much goes off
// those first that cannot make their targets any more.
func (w *window) share(factor float64, tardy bool) float64 {
	taken := w.calls - w.refused
	excess := w.calls - factor*taken
	if tardy {
		return excess / w.tardy
	}
	return (excess - w.tardy) / max(w.calls-w.tardy, 1)
}

func (w *window) age(now time.Time) {
	if w.since.IsZero() {
		w.since = now
	}
	for now.Sub(w.since) >= halfLife && w.calls > 0.5 {
		w.calls, w.tardy, w.refused, w.since = w.calls/2, w.tardy/2, w.refused/2, w.since.Add(halfLife)
	}
	if now.Sub(w.since) >= halfLife {
		w.calls, w.tardy, w.refused, w.since = 0, 0, 0, now
	}
}
