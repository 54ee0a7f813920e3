package kqsuspicion

import (
	"maps"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqquarantine"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqbroadcast"
)

const (
	// maxSpread bounds the wait for the word that all nodes know of an end. Processors that are
	// overloaded delay news for longer than the 150 ms in which they usually cross the fleet.
	maxSpread = kqbroadcast.MaxConfirmTime
	// maxAdmitSpread bounds the same wait of a call that has not been answered yet, which needs
	// time for a further attempt.
	maxAdmitSpread = 500 * time.Millisecond
	// spreadTTL is how long a node remembers which ends it has told. After maxSpread, they only
	// save telling them again.
	spreadTTL = 10 * time.Second
	// maxToldStarts bounds the ends of one request that are remembered as told.
	maxToldStarts = 8
)

type (
	// spread is what this node has told all nodes of a request.
	spread struct {
		starts   []kqquarantine.Start
		inFlight []*announcement
		last     time.Time
	}

	// announcement is news in flight. confirmed is nil until they are sent.
	announcement struct {
		at        time.Time
		confirmed <-chan struct{}
	}
)

// AwaitSpread waits until all nodes know of the ends under the call's request, or may know by
// the time that news usually take, up to the call's deadline and for at most maxSpread. Ends
// that other nodes have told are told again, since only the node that tells learns when all know.
func (q *Suspicions) AwaitSpread(c *kqcall.Call) {
	now := time.Now()
	s := q.shard(c.Fingerprint)
	s.mu.Lock()
	left := s.quarantine.SpreadLeft(c.Fingerprint, now)
	suspect, known := s.quarantine.Find(c.Fingerprint, now)
	s.mu.Unlock()
	if !known || now.Sub(suspect.LastEnd) >= maxSpread {
		return
	}
	q.tellAgain(suspect, now)
	least, last := now.Add(left), now.Add(maxSpread)
	for ; now.Before(c.Deadline) && !c.Cancel.Done(); now = time.Now() {
		if !now.Before(least) && (!now.Before(last) || !q.isSpreading(c.Fingerprint, now)) {
			return
		}
		time.Sleep(min(waitPoll, c.Deadline.Sub(now)))
	}
}

// tellAgain announces those ends of a request that this node has not told itself.
func (q *Suspicions) tellAgain(s kqquarantine.Suspect, now time.Time) {
	for _, e := range s.Ends {
		q.mu.Lock()
		told, ok := q.spreads[s.Request]
		isTold := ok && (slices.Contains(told.starts, e.Upstream) || len(told.starts) >= maxToldStarts)
		q.mu.Unlock()
		if !isTold {
			q.announceEnd(s.Request, s.Origin, e, now)
		}
	}
}

// announceEnd queues the news of an end and remembers that they are in flight.
func (q *Suspicions) announceEnd(r kqfingerprint.Fingerprint, from kqquarantine.Origin, e kqquarantine.End, now time.Time) {
	told := &announcement{at: now}
	if !q.announce(endNews(r, from, e, now), told) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.spreads[r]
	if !ok {
		s = &spread{}
		q.spreads[r] = s
		q.spreading.Store(int64(len(q.spreads)))
	}
	s.inFlight, s.last = append(s.inFlight, told), now
	if len(s.starts) < maxToldStarts {
		s.starts = append(s.starts, e.Upstream)
	}
}

// isSpreading reports whether news of the request that this node has told may not have reached all
// nodes.
func (q *Suspicions) isSpreading(r kqfingerprint.Fingerprint, now time.Time) bool {
	if q.spreading.Load() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.spreads[r]
	if !ok {
		return false
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(a *announcement) bool {
		if now.Sub(a.at) >= maxSpread {
			return true
		}
		select {
		case <-a.confirmed:
			return true
		default:
			return false
		}
	})
	return len(s.inFlight) > 0
}

// setConfirmed records what is closed once all nodes know of the announcements' news.
func (q *Suspicions) setConfirmed(told []*announcement, confirmed <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, a := range told {
		a.confirmed = confirmed
	}
}

// forgetSpreads removes what was told long ago.
func (q *Suspicions) forgetSpreads(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.spreads, func(_ kqfingerprint.Fingerprint, s *spread) bool { return now.Sub(s.last) >= spreadTTL })
	q.spreading.Store(int64(len(q.spreads)))
}
