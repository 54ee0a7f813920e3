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
		calls, refused float64
		since          time.Time
	}
)

var factors = [3]float64{4, 3, 2}

// New returns a shedder that has seen no call.
func New() *Shedder { return &Shedder{} }

// Refuse reports whether a call of the class is to be refused, and counts it.
func (s *Shedder) Refuse(c kqdocument.Class, now time.Time, random *rand.Rand) bool {
	i := c.Rank()
	w := &s.classes[i]
	w.age(now)
	w.calls++
	if w.calls < fewest {
		return false
	}
	taken := w.calls - w.refused
	if random.Float64() >= (w.calls-factors[i]*taken)/w.calls {
		return false
	}
	w.refused++
	return true
}

// Refused counts a call that a gate refused for load.
func (s *Shedder) Refused(c kqdocument.Class) { s.classes[c.Rank()].refused++ }

func (w *window) age(now time.Time) {
	if w.since.IsZero() {
		w.since = now
	}
	for now.Sub(w.since) >= halfLife && w.calls > 0.5 {
		w.calls, w.refused, w.since = w.calls/2, w.refused/2, w.since.Add(halfLife)
	}
	if now.Sub(w.since) >= halfLife {
		w.calls, w.refused, w.since = 0, 0, now
	}
}
