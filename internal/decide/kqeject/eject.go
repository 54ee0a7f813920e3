package kqeject

import "time"

const (
	// SlowFactor is how many times the median makes an upstream slow.
	SlowFactor = 3

	failuresInRow = 5
	// rateCalls is how many calls a rate of failures is taken over, and
	// failureRate the one that ejects: an upstream that fails every third call
	// seldom fails five in a row.
	rateCalls   = 16
	failureRate = 0.3
	firstTime   = 2 * time.Second
	longestTime = 30 * time.Second
	capDivisor  = 3
)

type (
	// State is what is known of one upstream. Its zero value is a healthy one.
	State struct {
		until    time.Time
		lasts    time.Duration
		failures int
		// rate is the part of the last calls that failed, the newest counting most,
		// and calls how many there were, up to rateCalls.
		rate    float64
		calls   int
		ejected bool
		// hard ejections do not count towards the cap.
		hard    bool
		probing bool
	}

	// Ejector keeps count for one service's upstreams. It is not safe for
	// concurrent use.
	Ejector struct{ soft int }
)

// Ejected reports whether the upstream is left out, other than for a probe.
func (s *State) Ejected() bool { return s.ejected }

// Until returns when an ejected upstream is due back.
func (s *State) Until() time.Time { return s.until }

// ProbeDue reports whether an ejected upstream is to be tried by one call.
func (s *State) ProbeDue(now time.Time) bool {
	return s.ejected && !s.probing && !now.Before(s.until)
}

// Probe notes that the one call is under way.
func (s *State) Probe() { s.probing = true }

// Unreachable ejects an upstream that cannot be sent work, whatever the cap.
func (e *Ejector) Unreachable(s *State, now time.Time) {
	if s.ejected && !s.hard {
		e.soft--
	}
	s.hard = true
	s.eject(now)
}

// Failed takes in a call that failed; of is the number of upstreams.
func (e *Ejector) Failed(s *State, of int, now time.Time) {
	s.failures++
	s.count(1)
	if s.ejected || s.failures >= failuresInRow || s.calls >= rateCalls && s.rate >= failureRate {
		e.eject(s, of, now)
	}
}

// Answered takes in a good answer of an upstream whose typical work is work,
// beside the median of its service's upstreams.
func (e *Ejector) Answered(s *State, of int, work, median time.Duration, now time.Time) {
	s.failures = 0
	s.count(0)
	switch {
	case median > 0 && work > SlowFactor*median:
		e.eject(s, of, now)
	case s.ejected && s.probing:
		e.Forget(s)
		s.ejected, s.probing, s.hard, s.lasts = false, false, false, 0
	}
}

func (s *State) count(failed float64) {
	s.calls = min(s.calls+1, rateCalls)
	s.rate += (failed - s.rate) / float64(s.calls)
}

// Forget tells that the upstream is gone or healthy again.
func (e *Ejector) Forget(s *State) {
	if s.ejected && !s.hard {
		e.soft--
	}
}

func (e *Ejector) eject(s *State, of int, now time.Time) {
	if !s.ejected {
		if e.soft >= of/capDivisor {
			return
		}
		e.soft++
	}
	s.eject(now)
}

func (s *State) eject(now time.Time) {
	// Answers of calls that were sent before the ejection say nothing new.
	if s.ejected && !s.probing {
		return
	}
	s.ejected, s.probing, s.failures = true, false, 0
	s.rate, s.calls = 0, 0
	s.lasts = min(max(2*s.lasts, firstTime), longestTime)
	s.until = now.Add(s.lasts)
}
