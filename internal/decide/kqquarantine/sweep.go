package kqquarantine

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
)

// Sweep removes suspects whose last end is long ago, or that the fates of their upstreams clear.
// It returns the possible ends that seem to be ones now, which the caller records.
func (q *Quarantine) Sweep(now time.Time) (ended []Suspect, removed []Suspect) {
	for r, s := range q.suspects {
		count, _ := q.count(s, now)
		isOver := now.Sub(s.LastEnd) > q.duration
		switch {
		case count >= MaxEnds && isOver && !s.paroled:
			q.parole(s, now)
		case count == 0, isOver:
			removed = append(removed, s.copy())
			q.remove(r)
		}
	}
	rest := q.possible[:0]
	for _, p := range q.possible {
		switch fate := q.fate(p.end.Upstream); {
		case fate == Left, now.Sub(p.end.Known) > possibleTime:
		case fate == Ended, fate == Lost:
			p.end.Certainty, p.end.Known = Unconfirmed, now
			if fate == Ended {
				p.end.Certainty = Confirmed
			}
			ended = append(ended, Suspect{Request: p.request, Origin: p.origin, Ends: []End{p.end}})
		default:
			rest = append(rest, p)
		}
	}
	clear(q.possible[len(rest):])
	q.possible = rest
	return ended, removed
}

// parole lets a request be tried once more: all of its ends but MaxEnds-1 are forgotten, also if they are
// told again.
func (q *Quarantine) parole(s *suspect, now time.Time) {
	forgotten := len(s.Ends) - MaxEnds + 1
	c, ok := q.cleared[s.Request]
	if !ok {
		q.makeRoomForClearance(now)
	}
	for _, e := range s.Ends[:forgotten] {
		c.addStart(e.Upstream)
	}
	q.cleared[s.Request] = c
	s.Ends, s.vouched, s.paroled, s.LastEnd = s.Ends[forgotten:], false, true, now
}

// recordPossible remembers a call without an answer, in place of the oldest one if there are too
// many.
func (q *Quarantine) recordPossible(r kqfingerprint.Fingerprint, from Origin, e End) {
	if len(q.possible) >= maxPossible {
		q.possible = append(q.possible[:0], q.possible[1:]...)
	}
	q.possible = append(q.possible, possibleEnd{r, from, e})
}
