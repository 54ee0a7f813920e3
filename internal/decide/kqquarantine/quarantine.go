package kqquarantine

import (
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// MaxEnds is the number of upstreams that may end under one request.
	MaxEnds = 3

	// SpreadTime is how long a request under which two upstreams have ended waits for the
	// news of further ends, which cross the fleet in less. After the first end, it waits for
	// firstSpreadTime, in which news cross a region.
	SpreadTime      = 150 * time.Millisecond
	firstSpreadTime = 20 * time.Millisecond
	// lossTime is the time within which upstreams that are lost at one moment are known to be.
	lossTime = 100 * time.Millisecond
	// probePatience is how long calls wait for a probe before another server is probed as well.
	probePatience = 500 * time.Millisecond
	// refutationTime is how long the node of an upstream that may have ended must be known
	// as alive before the end counts as refuted. A lost server is noticed sooner.
	refutationTime = 5 * time.Second
	// possibleTime is how long calls without an answer are remembered, in case that their
	// upstream turns out to have ended.
	possibleTime = 10 * time.Second
	// answerTime is how long an answer speaks for a request in a loss of several upstreams
	// at once.
	answerTime = 10 * time.Second
	// maxSuspects bounds the suspects, maxClearances the clearances, maxPossible the calls without
	// an answer, and answers the answered requests that are remembered.
	maxSuspects   = 512
	maxClearances = 512
	maxPossible   = 64
	answers       = 512
	// maxKeptEnds bounds the ends that are kept of one request, for operators to see.
	maxKeptEnds = 8
)

const (
	// Allow lets a call be sent as usual.
	Allow Verdict = iota
	// Caution lets a call be sent, but to another server if there is one: the node where it
	// began must be left to tell, in case that a server is lost under it.
	Caution
	// Probe lets a call be sent to the server that all nodes choose for its request, and makes
	// others of the same request wait until Finish.
	Probe
	// ProbeElsewhere is a Probe of the server that all nodes choose next, since the first one takes
	// long.
	ProbeElsewhere
	// Wait means that the call may be sent later, once the verdict is another.
	Wait
	// Refuse means that the call must not be sent.
	Refuse
)

// A node that probes on one side must not keep a probe of another node waiting on the other: the
// two could wait for each other.
const (
	// Outgoing calls leave a node for an upstream.
	Outgoing Side = iota
	// Incoming calls have reached the upstream's node.
	Incoming
	sides
)

const (
	// Unconfirmed ends count unless the upstream's node turns out to be well.
	Unconfirmed Certainty = iota
	// Possible ends count once the upstream turns out to have ended.
	Possible
	// Confirmed ends count.
	Confirmed
)

const (
	// Unknown is the fate of an upstream whose node may have been lost.
	Unknown Fate = iota
	// Alive is the fate of an upstream whose node is alive and lists it.
	Alive
	// Left is the fate of an upstream that drains.
	Left
	// Lost is the fate of an upstream whose node is dead, or is alive and lists none.
	Lost
	// Ended is the fate of an upstream in whose place its node lists others.
	Ended
)

type (
	// Verdict is what may be done with a call.
	Verdict uint8

	// Side is where a node decides on a call.
	Side uint8

	// Certainty is how sure it is that an upstream ended.
	Certainty uint8

	// Fate is what became of an upstream.
	Fate uint8

	// Start identifies one start of an upstream beside a node. An even ID is that of one start only;
	// with an odd one, a later start at the same address may have it too. 0 is an unknown one.
	Start struct {
		Node kqname.Node `cbor:"1,keyasint" json:"node"`
		ID   uint64      `cbor:"2,keyasint" json:"start"`
	}

	// End is the end of an upstream under a request that was sent to it at Sent. Known is when this
	// node learned of the end.
	End struct {
		Upstream    Start
		Certainty   Certainty
		Sent, Known time.Time
	}

	// Origin is where a request belongs.
	Origin struct {
		Service kqname.Service `cbor:"1,keyasint" json:"service"`
		Route   kqname.Route   `cbor:"2,keyasint" json:"route"`
	}

	// Suspect is a request under which upstreams have ended.
	Suspect struct {
		Request kqfingerprint.Fingerprint
		Origin
		Ends []End
		// Refused reports whether calls are refused.
		Refused bool
		// LastEnd is when the last end became known.
		LastEnd time.Time
	}

	// Quarantine holds the suspects of a part of all requests. It is not safe for concurrent
	// use.
	Quarantine struct {
		// duration is how long a suspect is kept after its last end.
		duration time.Duration
		fate     func(Start) Fate
		suspects map[kqfingerprint.Fingerprint]*suspect
		byRoute  map[Origin]int
		possible []possibleEnd
		answered [answers]answer
		cleared  map[kqfingerprint.Fingerprint]clearance
	}

	// clearance is until when the ends of a cleared request do not count, and the upstreams whose
	// ends it was cleared of. Other nodes may report these only later.
	clearance struct {
		until  time.Time
		starts []Start
	}

	suspect struct {
		Suspect
		// vouched reports whether the request had been answered shortly before its first end.
		vouched bool
		// probing is the number of probes at work, the first of which began at probedSince.
		probing     [sides]int
		probedSince [sides]time.Time
		// paroled reports whether the request was refused for the whole duration, and may be
		// tried once more.
		paroled bool
	}

	possibleEnd struct {
		request kqfingerprint.Fingerprint
		origin  Origin
		end     End
	}

	answer struct {
		request kqfingerprint.Fingerprint
		at      time.Time
	}
)

// New returns a Quarantine without suspects, which keeps them for the duration after their last
// end. A request that was refused all the while is tried by a single call then. fate returns
// what is known of an upstream.
func New(duration time.Duration, fate func(Start) Fate) *Quarantine {
	return &Quarantine{
		duration: duration, fate: fate,
		suspects: make(map[kqfingerprint.Fingerprint]*suspect), byRoute: make(map[Origin]int), cleared: make(map[kqfingerprint.Fingerprint]clearance),
	}
}

// Decide returns whether a call of the request may be sent that came at the given time. After Probe or
// ProbeElsewhere, the caller must call Finish for the same side.
func (q *Quarantine) Decide(r kqfingerprint.Fingerprint, side Side, came, now time.Time) Verdict {
	s, ok := q.suspects[r]
	if !ok {
		return Allow
	}
	count, confirmed := q.count(s, now)
	switch {
	case count == 0:
		return Allow
	case count >= MaxEnds:
		return Refuse
	case now.Sub(s.LastEnd) < spreadTime(count), side == Outgoing && now.Sub(came) < spreadTime(count):
		// News of a further end may be on their way, also of one that ended just before the
		// call came.
		return Wait
	case count == 1 && confirmed == 0:
		// Most such upstreams are alive or ended for another reason.
		return Caution
	case s.probing[side] == 0:
		s.probing[side], s.probedSince[side] = 1, now
		return Probe
	case side == Outgoing && count+s.probing[side] < MaxEnds && now.Sub(s.probedSince[side]) >= probePatience:
		s.probing[side]++
		return ProbeElsewhere
	default:
		return Wait
	}
}

// IsRefused reports whether calls of the request are refused.
func (q *Quarantine) IsRefused(r kqfingerprint.Fingerprint, now time.Time) bool {
	s, ok := q.suspects[r]
	if !ok {
		return false
	}
	count, _ := q.count(s, now)
	return count >= MaxEnds
}

// SpreadLeft returns how much longer news of the last end under the request may take to reach all
// nodes.
func (q *Quarantine) SpreadLeft(r kqfingerprint.Fingerprint, now time.Time) time.Duration {
	s, ok := q.suspects[r]
	if !ok {
		return 0
	}
	return max(SpreadTime-now.Sub(s.LastEnd), 0)
}

// Finish ends a probe.
func (q *Quarantine) Finish(r kqfingerprint.Fingerprint, side Side) {
	if s, ok := q.suspects[r]; ok {
		s.probing[side] = max(s.probing[side]-1, 0)
	}
}

// RecordEnd records that an upstream ended under a request, or may have, and reports whether
// that is news. An upstream counts once, however many nodes report it.
func (q *Quarantine) RecordEnd(r kqfingerprint.Fingerprint, from Origin, e End) bool {
	if e.Certainty == Possible {
		q.recordPossible(r, from, e)
		return false
	}
	if c, ok := q.cleared[r]; ok && (e.Known.Before(c.until) || slices.Contains(c.starts, e.Upstream)) {
		return false
	}
	s, ok := q.suspects[r]
	if !ok {
		s = q.add(r, from, e.Known)
	}
	for i := range s.Ends {
		if known := &s.Ends[i]; known.isSame(e) {
			isNews := e.Certainty > known.Certainty
			known.Certainty = max(known.Certainty, e.Certainty)
			return isNews
		}
	}
	if e.Known.After(s.LastEnd) {
		s.LastEnd = e.Known
	}
	s.paroled = false
	if len(s.Ends) < maxKeptEnds {
		s.Ends = append(s.Ends, e)
	}
	return true
}

// Find returns a suspect and whether there is one.
func (q *Quarantine) Find(r kqfingerprint.Fingerprint, now time.Time) (Suspect, bool) {
	s, ok := q.suspects[r]
	if !ok {
		return Suspect{}, false
	}
	count, _ := q.count(s, now)
	one := s.copy()
	one.Refused = count >= MaxEnds
	return one, true
}

// Suspects returns all suspects.
func (q *Quarantine) Suspects(now time.Time) []Suspect {
	list := make([]Suspect, 0, len(q.suspects))
	for r := range q.suspects {
		if one, _ := q.Find(r, now); len(one.Ends) > 0 {
			list = append(list, one)
		}
	}
	return list
}

// count returns how many ends count against the suspect, and how many of them are confirmed.
// It drops those that are refuted. Several upstreams that are lost at once may have run a
// request that many callers make: if it had been answered shortly before, the ends under calls
// that were sent up to lossTime after the first one was known count as one.
func (q *Quarantine) count(s *suspect, now time.Time) (count, confirmed int) {
	kept := s.Ends[:0]
	for _, e := range s.Ends {
		if e.Certainty == Unconfirmed {
			switch fate := q.fate(e.Upstream); {
			case fate == Ended && slices.ContainsFunc(kept, func(known End) bool { return known.Certainty == Confirmed && known.Upstream == e.Upstream }):
				// The start in whose place there are others has been counted.
				continue
			case fate == Ended:
				e.Certainty = Confirmed
			case fate == Left, fate == Alive && now.Sub(e.Known) >= refutationTime:
				continue
			}
		}
		kept = append(kept, e)
	}
	s.Ends = kept
	for i, e := range kept {
		if e.Certainty == Confirmed {
			confirmed++
		}
		if i == 0 || !s.vouched || !e.Sent.Before(kept[0].Known.Add(lossTime)) {
			count++
		}
	}
	return count, confirmed
}

// isExact reports whether no other start has the same ID.
func (s Start) isExact() bool { return s.ID != 0 && s.ID%2 == 0 }

// isSame reports whether an end that is told is the one that is known. A node that was paused tells
// and hears of ends as younger than they are. A call without an answer may have been sent to a later
// start than its node knew of.
func (known End) isSame(e End) bool {
	if known.Upstream != e.Upstream {
		return false
	}
	isOneStart := e.Upstream.isExact() && (e.Certainty == Confirmed || known.Certainty != Confirmed)
	return isOneStart || !e.Sent.After(known.Known.Add(SpreadTime))
}

// spreadTime returns how long news may take that a request must wait for.
func spreadTime(ends int) time.Duration {
	if ends == 1 {
		return firstSpreadTime
	}
	return SpreadTime
}

func (s *suspect) copy() Suspect {
	c := s.Suspect
	c.Ends = append([]End(nil), s.Ends...)
	return c
}
