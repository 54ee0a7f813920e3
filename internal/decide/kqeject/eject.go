package kqeject

import "time"

const (
	// SlowFactor is the multiple of the median above which an upstream is slow.
	SlowFactor = 3

	maxConsecutiveFailures = 5
	// rateWindow is the number of calls over which the failure rate is averaged, and
	// maxFailureRate is the rate from which on an upstream is ejected: one that fails every
	// third call seldom fails five in a row.
	rateWindow     = 16
	maxFailureRate = 0.3
	// minEjection and maxEjection bound the ejection time. 1/capDivisor is the largest
	// share of a service's upstreams that is ejected at a time.
	minEjection = 2 * time.Second
	maxEjection = 30 * time.Second
	capDivisor  = 3
)

type (
	// State is the state of one upstream. The zero value is a healthy upstream.
	State struct {
		until               time.Time
		duration            time.Duration
		consecutiveFailures int
		// failureRate is the share of recent calls that failed, weighted towards the
		// newest; rateCalls is how many calls it covers, up to rateWindow.
		failureRate float64
		rateCalls   int
		ejected     bool
		// unreachable is set for ejections that do not count towards the cap.
		unreachable bool
		probing     bool
	}

	// Ejector limits the ejections among one service's upstreams. It is not safe for
	// concurrent use.
	//
	// countedEjections is the number of current ejections that count towards the cap.
	Ejector struct{ countedEjections int }
)

// Ejected reports whether the upstream is ejected.
func (s *State) Ejected() bool { return s.ejected }

// EjectedUntil returns when an ejected upstream may be probed.
func (s *State) EjectedUntil() time.Time { return s.until }

// ProbeDue reports whether an ejected upstream is due for a probe.
func (s *State) ProbeDue(now time.Time) bool {
	return s.ejected && !s.probing && !now.Before(s.until)
}

// StartProbe marks the probe as in flight.
func (s *State) StartProbe() { s.probing = true }

// RecordUnreachable ejects an upstream that accepts no calls, regardless of the cap.
func (e *Ejector) RecordUnreachable(s *State, now time.Time) {
	if s.ejected && !s.unreachable {
		e.countedEjections--
	}
	s.unreachable = true
	s.eject(now)
}

// RecordFailure records a failed call; total is the number of the service's upstreams.
func (e *Ejector) RecordFailure(s *State, total int, now time.Time) {
	s.consecutiveFailures++
	s.recordResult(1)
	if s.ejected || s.consecutiveFailures >= maxConsecutiveFailures || s.rateCalls >= rateWindow && s.failureRate >= maxFailureRate {
		e.eject(s, total, now)
	}
}

// RecordSuccess records a call that was answered. It ejects an upstream whose
// recent work exceeds SlowFactor times the median of its service's upstreams, and otherwise
// readmits one that is being probed. A median of 0 means that no upstream is slow.
func (e *Ejector) RecordSuccess(s *State, total int, work, median time.Duration, now time.Time) {
	s.consecutiveFailures = 0
	s.recordResult(0)
	switch {
	case median > 0 && work > SlowFactor*median:
		e.eject(s, total, now)
	case s.ejected && s.probing:
		e.Release(s)
		s.ejected, s.probing, s.unreachable, s.duration = false, false, false, 0
	}
}

// RecordNoResult records a call that the upstream did not run to an end: one that was refused
// by its gate, for example because its queue was full, or cancelled by its caller. It tells
// nothing of failures. reached is set if the gate answered, which readmits an upstream that
// was unreachable; another one that is being probed gets a further probe soon.
func (e *Ejector) RecordNoResult(s *State, reached bool, now time.Time) {
	if !s.ejected || !s.probing {
		return
	}
	if reached && s.unreachable {
		s.ejected, s.probing, s.unreachable, s.duration = false, false, false, 0
		return
	}
	s.probing, s.until = false, now.Add(minEjection)
}

// recordResult updates the failure rate with a call; failed is 1 for a failure, else 0.
func (s *State) recordResult(failed float64) {
	s.rateCalls = min(s.rateCalls+1, rateWindow)
	s.failureRate += (failed - s.failureRate) / float64(s.rateCalls)
}

// Release removes an upstream that is gone or healthy again from the count of ejections.
func (e *Ejector) Release(s *State) {
	if s.ejected && !s.unreachable {
		e.countedEjections--
	}
}

// eject ejects the upstream, or extends its ejection after a probe, within the cap.
func (e *Ejector) eject(s *State, total int, now time.Time) {
	if !s.ejected {
		if e.countedEjections >= total/capDivisor {
			return
		}
		e.countedEjections++
	}
	s.eject(now)
}

func (s *State) eject(now time.Time) {
	// Outcomes of calls that were sent before the ejection carry no new information. While
	// a probe is in flight, they cannot be told from its outcome.
	if s.ejected && !s.probing {
		return
	}
	s.ejected, s.probing, s.consecutiveFailures = true, false, 0
	s.failureRate, s.rateCalls = 0, 0
	s.duration = min(max(2*s.duration, minEjection), maxEjection)
	s.until = now.Add(s.duration)
}
