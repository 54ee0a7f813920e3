package kqshed

import (
	"math/rand/v2"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	halfLife = time.Second
	// minCalls is the decayed number of calls below which nothing is shed.
	minCalls = 20
	// idleTimeout is how long the counts of a workspace without calls are kept, and
	// sweepInterval the interval between removals.
	idleTimeout   = 10 * time.Second
	sweepInterval = 10 * time.Second
)

type (
	// Shedder sheds the load of one service. It is not safe for concurrent use.
	Shedder struct {
		classes [3]decayingCounts
		// workspaces holds the Shedder of each workspace with recent calls.
		workspaces map[kqname.Workspace]*Shedder
		// lastCall is when For returned the Shedder last, lastSweep when idle ones were
		// removed.
		lastCall, lastSweep time.Time
	}

	// decayingCounts are counts of one class, halved once every halfLife.
	decayingCounts struct {
		// late counts the calls that could no longer meet their targets, and refused those
		// refused for load, here or by a gate.
		calls, late, refused float64
		lastHalving          time.Time
	}
)

// maxOfferedRatios limit the load that is offered to the gates, as a multiple of the load
// that they accept, by class rank (0 is the most important).
var maxOfferedRatios = [3]float64{4, 3, 2}

// New returns a Shedder without data.
func New() *Shedder { return &Shedder{} }

// For returns the Shedder for the calls of a workspace, which is s itself for those without
// one. Each workspace has counts of its own, so that the refusals of one that sends more than
// the gates accept do not shed the calls of others.
func (s *Shedder) For(w kqname.Workspace, now time.Time) *Shedder {
	if w == "" {
		return s
	}
	if now.Sub(s.lastSweep) >= sweepInterval {
		s.lastSweep = now
		for name, one := range s.workspaces {
			if now.Sub(one.lastCall) >= idleTimeout {
				delete(s.workspaces, name)
			}
		}
	}
	found := s.workspaces[w]
	if found == nil {
		if s.workspaces == nil {
			s.workspaces = make(map[kqname.Workspace]*Shedder)
		}
		found = New()
		s.workspaces[w] = found
	}
	found.lastCall = now
	return found
}

// ShouldShed counts a call of the class and reports whether to refuse it. late is set if
// the call can no longer meet its target.
func (s *Shedder) ShouldShed(c kqdocument.Class, late bool, now time.Time, random *rand.Rand) bool {
	i := c.Rank()
	w := &s.classes[i]
	w.decay(now)
	w.calls++
	if late {
		w.late++
	}
	if w.calls < minCalls || random.Float64() >= w.shedProbability(maxOfferedRatios[i], late) {
		return false
	}
	w.refused++
	return true
}

// RecordRefusal counts a call that a gate refused for load.
func (s *Shedder) RecordRefusal(c kqdocument.Class) { s.classes[c.Rank()].refused++ }

// shedProbability returns the probability of refusing a call, which is below 0 for never
// and above 1 for always. Late calls are refused first, up to the number of calls in excess
// of factor times the accepted ones.
func (w *decayingCounts) shedProbability(factor float64, late bool) float64 {
	accepted := w.calls - w.refused
	excess := w.calls - factor*accepted
	if late {
		return excess / w.late
	}
	return (excess - w.late) / max(w.calls-w.late, 1)
}

func (w *decayingCounts) decay(now time.Time) {
	if w.lastHalving.IsZero() {
		w.lastHalving = now
	}
	for now.Sub(w.lastHalving) >= halfLife && w.calls > 0.5 {
		w.calls, w.late, w.refused, w.lastHalving = w.calls/2, w.late/2, w.refused/2, w.lastHalving.Add(halfLife)
	}
	if now.Sub(w.lastHalving) >= halfLife {
		w.calls, w.late, w.refused, w.lastHalving = 0, 0, 0, now
	}
}
