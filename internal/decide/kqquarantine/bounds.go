package kqquarantine

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
)

// add adds a suspect. If there are too many, the one seen longest ago of the route with the most is
// dropped, so that no route's requests can displace those of others.
func (q *Quarantine) add(r kqfingerprint.Fingerprint, from Origin, now time.Time) *suspect {
	if len(q.suspects) >= maxSuspects {
		q.dropOne()
	}
	last := q.answered[slotOf(r)]
	s := &suspect{
		Suspect: Suspect{Request: r, Origin: from, LastEnd: now},
		vouched: last.request == r && now.Sub(last.at) <= answerTime,
	}
	q.suspects[r] = s
	q.byRoute[from]++
	return s
}

func (q *Quarantine) dropOne() {
	var most Origin
	for origin, n := range q.byRoute {
		if n > q.byRoute[most] {
			most = origin
		}
	}
	var oldest *suspect
	for _, s := range q.suspects {
		if s.Origin == most && (oldest == nil || s.LastEnd.Before(oldest.LastEnd)) {
			oldest = s
		}
	}
	if oldest != nil {
		q.remove(oldest.Request)
	}
}

func (q *Quarantine) remove(r kqfingerprint.Fingerprint) {
	s, ok := q.suspects[r]
	if !ok {
		return
	}
	delete(q.suspects, r)
	if q.byRoute[s.Origin]--; q.byRoute[s.Origin] == 0 {
		delete(q.byRoute, s.Origin)
	}
}
