package kqquarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
)

// RecordAnswer records the whole answer to a call that was sent at the given time. It clears the
// request of the ends that were known before. If none is left, it returns the former suspect
// and true.
func (q *Quarantine) RecordAnswer(r kqfingerprint.Fingerprint, sent, now time.Time) (Suspect, bool) {
	q.answered[slotOf(r)] = answer{r, now}
	if _, ok := q.suspects[r]; !ok {
		return Suspect{}, false
	}
	return q.ClearBefore(r, sent, now)
}

// ClearBefore clears a request of the ends that were known before the given time, also if they
// are told again. If it had some and none is left, it returns the former suspect and true.
func (q *Quarantine) ClearBefore(r kqfingerprint.Fingerprint, until, now time.Time) (Suspect, bool) {
	c, ok := q.cleared[r]
	if !ok {
		q.makeRoomForClearance(now)
	}
	if until.After(c.until) {
		c.until = until
	}
	defer func() { q.cleared[r] = c }()
	s, ok := q.suspects[r]
	if !ok {
		return Suspect{}, false
	}
	before := s.copy()
	s.Ends = slices.DeleteFunc(s.Ends, func(e End) bool {
		isCleared := e.Known.Before(until)
		if isCleared {
			c.addStart(e.Upstream)
		}
		return isCleared
	})
	if len(s.Ends) > 0 {
		return Suspect{}, false
	}
	q.remove(r)
	return before, true
}

// addStart adds an upstream whose end does not count any more, unless its start is unknown.
func (c *clearance) addStart(s Start) {
	if s.ID != 0 {
		c.starts = append(c.starts[max(len(c.starts)-maxKeptEnds+1, 0):], s)
	}
}

// Cleared returns until when the ends of each cleared request do not count.
func (q *Quarantine) Cleared() map[kqfingerprint.Fingerprint]time.Time {
	all := make(map[kqfingerprint.Fingerprint]time.Time, len(q.cleared))
	for r, c := range q.cleared {
		all[r] = c.until
	}
	return all
}

// makeRoomForClearance drops the clearances of requests that no node keeps any more and, of too
// many, the oldest.
func (q *Quarantine) makeRoomForClearance(now time.Time) {
	if len(q.cleared) < maxClearances {
		return
	}
	maps.DeleteFunc(q.cleared, func(_ kqfingerprint.Fingerprint, c clearance) bool { return now.Sub(c.until) > 2*q.duration })
	for len(q.cleared) >= maxClearances {
		var oldest kqfingerprint.Fingerprint
		for r, c := range q.cleared {
			if oldest.IsZero() || c.until.Before(q.cleared[oldest].until) {
				oldest = r
			}
		}
		delete(q.cleared, oldest)
	}
}

// slotOf returns where the last answer to the request is remembered. Two requests may share
// a slot; the later one replaces the other.
func slotOf(r kqfingerprint.Fingerprint) int { return (int(r[1])<<8 | int(r[2])) % answers }
