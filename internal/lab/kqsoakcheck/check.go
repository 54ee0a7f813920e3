package kqsoakcheck

import (
	"fmt"
	"maps"
	"sync"
	"time"
)

const (
	// Lost is a call whose request was sent completely, but which got no complete answer
	// or was answered "unknown" for another reason than its timeout or before that
	// timeout, while no unplanned fault could explain it.
	Lost Kind = "LOST"
	// Twice is a non-idempotent call that ran more than once; it is reported once.
	Twice Kind = "TWICE"
	// Crossed is a call that received the answer to another call or more bytes than one
	// answer, or a run of a call that no caller sent.
	Crossed Kind = "CROSSED"
	// FalseNotRun is a call that ran, before or after a node refused it with status 503
	// or 429, which says that it does not run.
	FalseNotRun Kind = "FALSE"
	// Late is a call that began to run at an upstream more than drainGrace after the
	// node acknowledged that the upstream is draining, while no unplanned fault could
	// explain it.
	Late Kind = "LATE"
	// WrongExit is a process that exited without being asked to, not in the way it
	// should, or not in time.
	WrongExit Kind = "ENDED"
	// VersionRegressed is a node that went back to an older version of the configuration.
	VersionRegressed Kind = "FELL_BACK"
	// Exposed is a call that ran at an upstream of a bad version, more than
	// exposureGrace after that upstream had run enough calls for the version to be
	// detected as bad.
	Exposed Kind = "EXPOSED"
	// OverLimit is a call that began to run at an upstream which had got more calls than
	// the limit that it names allows, from nodes that had passed on its answers.
	OverLimit Kind = "LIMIT"
	// StaleLimit is a call that was refused within a limit although no upstream names one.
	StaleLimit Kind = "STALE_LIMIT"
	// InEvacuated is a call that began to run in a failure domain more than
	// evacuationGrace after the document that evacuates it was committed, and was sent
	// after that time.
	InEvacuated Kind = "EVACUATED"
	// TooManyCold is a call that began to run at a cold upstream which had got as many calls
	// in the last second as it bears.
	TooManyCold Kind = "COLD"
	// Unrecovered is a fleet that answers too few calls, or gets none, after the last
	// fault.
	Unrecovered Kind = "UNRECOVERED"

	// drainGrace is how long after its node acknowledged that it is draining an
	// upstream may still be sent calls.
	drainGrace = 2 * time.Second
	// runsToDetect is how many runs are enough to detect a bad version, half of whose
	// answers are failures; exposureGrace is how long it may still be used after that.
	runsToDetect  = 20
	exposureGrace = 10 * time.Second
	// faultGrace is how long after the end of an unplanned fault calls may still be
	// lost because of it.
	faultGrace = 3 * time.Second
	// runReportDelay is how long after a call's end all its runs are known. Upstreams
	// report them over a pipe.
	runReportDelay = 300 * time.Millisecond

	// AnyNode matches every node, for calls whose path through the fleet is unknown.
	AnyNode = -1
	// Store stands for the store in disruptions. They excuse nothing but a document that
	// nodes do not get.
	Store = -2
)

type (
	// Kind identifies a type of violation.
	Kind string

	// Call is one call as observed by its caller.
	Call struct {
		WorkID string `json:"work"`
		Node   int    `json:"node"`
		Route  string `json:"route"`
		// Service is where the route leads, empty if there are several.
		Service    string        `json:"service,omitempty"`
		Idempotent bool          `json:"idempotent"`
		ConnMode   string        `json:"habit"`
		ConnUses   int           `json:"uses"`
		Sent       time.Duration `json:"sent"`
		Ended      time.Duration `json:"ended"`
		// Timeout is the route's timeout, after which the call may be abandoned.
		Timeout time.Duration `json:"allowed"`
		// RequestSent reports that the whole request was written, AnswerRead that a
		// whole answer was read.
		RequestSent bool   `json:"whole"`
		AnswerRead  bool   `json:"complete"`
		Status      int    `json:"status,omitempty"`
		Result      string `json:"result,omitempty"`
		Reason      string `json:"reason,omitempty"`
		// AnswerIDs are the work ids named in the answer's header and body, and a note
		// if more bytes followed the answer.
		AnswerIDs []string `json:"answers,omitempty"`
		Error     string   `json:"error,omitempty"`
		// Told is what the answer says of its upstream; its Upstream is empty if there is no
		// answer of one.
		Told Told `json:"told,omitzero"`
	}

	// Run is one run of a call as reported by its upstream; Ended is 0 until it ends.
	Run struct {
		Upstream string        `json:"upstream"`
		Node     int           `json:"node"`
		Began    time.Duration `json:"began"`
		Ended    time.Duration `json:"ended,omitempty"`
	}

	// Violation is a broken guarantee, with the call that it concerns and the call's
	// runs.
	Violation struct {
		Kind Kind          `json:"kind"`
		At   time.Duration `json:"at"`
		Text string        `json:"text"`
		Call *Call         `json:"call,omitempty"`
		Runs []Run         `json:"runs,omitempty"`
	}

	// Disruption is the time span of an unplanned fault at a node or its upstream; To
	// is 0 until the fault ends.
	Disruption struct {
		Node     int
		From, To time.Duration
		// UnderCall reports that the node's upstream ended under a call.
		UnderCall bool
	}

	// Tally counts calls by outcome. Answered counts every complete answer whose result
	// is neither "not_run" nor "unknown".
	Tally struct {
		Calls    int `json:"calls"`
		Answered int `json:"answered"`
		NotRun   int `json:"not_run"`
		Unknown  int `json:"unknown"`
		// Cut counts calls whose answer could not be read to its end.
		Cut int `json:"cut"`
		// EndedUnder counts the upstreams that ended under calls.
		EndedUnder int `json:"ended_under"`
		// Excused counts calls that would be lost if no unplanned fault explained them.
		Excused int `json:"excused"`
		Runs    int `json:"runs"`
		// Reasons counts calls by the reason given, if there is one.
		Reasons map[string]int `json:"reasons"`
	}

	// Checker records observations and collects violations. It is safe for concurrent
	// use.
	Checker struct {
		mu sync.Mutex
		// records holds the calls by work id, acknowledgedDrains when the node
		// acknowledged that each upstream is draining, and badUpstreams the upstreams of
		// bad versions.
		records            map[string]*callRecord
		acknowledgedDrains map[string]time.Duration
		disruptions        []Disruption
		badUpstreams       map[string]*badUpstream
		conditions         map[string]*condition
		coldStarts         map[string]*coldStart
		// deadly holds the ends under each request that ends its upstreams, blamedSince since
		// when each route's usual request is refused, and cleared the call that cleared it.
		deadly      map[string]endsUnder
		blamedSince map[string]time.Duration
		cleared     map[string]clearance
		// evacuatedAt holds when the failure domain of each node was evacuated.
		evacuatedAt map[int]time.Duration
		// pending holds calls that are lost unless an unplanned fault excuses them.
		pending    []*callRecord
		tally      Tally
		outcomes   []outcome
		violations []Violation
	}

	// callRecord is what is known about a call. call is nil until the call ends.
	callRecord struct {
		call *Call
		runs []Run
		// idempotent is set before the call ends, since the report of a run may arrive
		// before that of its call.
		idempotent bool
		// node is where the call was sent, at the time sent.
		node int
		sent time.Duration
	}

	// badUpstream counts the runs at an upstream of a bad version. detectedAt is when
	// the count reached runsToDetect, 0 before that.
	badUpstream struct {
		runs       int
		detectedAt time.Duration
	}

	// outcome is when a call was sent and whether it was answered with status 200.
	outcome struct {
		sent     time.Duration
		answered bool
	}
)

// New returns a Checker without observations.
func New() *Checker {
	return &Checker{
		records: make(map[string]*callRecord), acknowledgedDrains: make(map[string]time.Duration),
		badUpstreams: make(map[string]*badUpstream), conditions: make(map[string]*condition), evacuatedAt: make(map[int]time.Duration), coldStarts: make(map[string]*coldStart), deadly: make(map[string]endsUnder), blamedSince: make(map[string]time.Duration), cleared: make(map[string]clearance), tally: Tally{Reasons: make(map[string]int)},
	}
}

// CallSent records that a call is about to be sent to a node.
func (ck *Checker) CallSent(workID string, idempotent bool, node int, at time.Duration) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.records[workID] = &callRecord{idempotent: idempotent, node: node, sent: at}
}

// Began records that an upstream began to run a call, and checks that run.
func (ck *Checker) Began(workID, upstream string, node int, at time.Duration) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	rec, ok := ck.records[workID]
	if !ok {
		ck.addLocked(Crossed, at, fmt.Sprintf("%s ran %q, which no caller sent", upstream, workID), &callRecord{})
		return
	}
	ck.tally.Runs++
	rec.runs = append(rec.runs, Run{Upstream: upstream, Node: node, Began: at})
	if len(rec.runs) == 2 && !rec.idempotent {
		ck.addLocked(Twice, at, workID+" is not idempotent and ran twice", rec)
	}
	if rec.call != nil && rec.call.isRefused() {
		ck.addLocked(FalseNotRun, at, workID+" was reported as not run but ran afterwards", rec)
	}
	if b, ok := ck.badUpstreams[upstream]; ok {
		ck.checkExposure(b, rec, upstream, at)
	}
	ck.checkCondition(rec, upstream, at)
	ck.checkEvacuation(rec, node, at)
	ck.checkCold(rec, upstream, at)
	ck.checkDeadly(workID, rec, node, at)
	if acknowledgedAt, ok := ck.acknowledgedDrains[upstream]; ok && at > acknowledgedAt+drainGrace && !ck.hadFault(node, acknowledgedAt, at) {
		ck.addLocked(Late, at, fmt.Sprintf("%s began %v after the node acknowledged the drain of %s", workID, at-acknowledgedAt, upstream), rec)
	}
}

// MarkBad marks an upstream as running a bad version.
func (ck *Checker) MarkBad(upstream string) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.badUpstreams[upstream] = &badUpstream{}
}

// checkExposure counts a run at an upstream of a bad version and adds a violation if the
// version should be out of use. The caller holds mu.
func (ck *Checker) checkExposure(b *badUpstream, rec *callRecord, upstream string, at time.Duration) {
	if b.runs++; b.runs == runsToDetect {
		b.detectedAt = at
	}
	if b.detectedAt > 0 && at > b.detectedAt+exposureGrace {
		ck.addLocked(Exposed, at, fmt.Sprintf("%s ran a call %v after it had run enough calls to be detected as bad", upstream, at-b.detectedAt), rec)
	}
}

// RunEnded records that an upstream ended a run.
func (ck *Checker) RunEnded(workID, upstream string, at time.Duration) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	if rec, ok := ck.records[workID]; ok {
		for i := range rec.runs {
			if r := &rec.runs[i]; r.Upstream == upstream && r.Ended == 0 {
				r.Ended = at
				return
			}
		}
	}
}

// DrainAcknowledged records that a node acknowledged that an upstream is draining.
func (ck *Checker) DrainAcknowledged(upstream string, at time.Duration) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.acknowledgedDrains[upstream] = at
}

// Disruption records the start of an unplanned fault at a node and returns the function
// that records its end.
func (ck *Checker) Disruption(node int, from time.Duration) func(to time.Duration) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.forgetTold(node)
	at := len(ck.disruptions)
	ck.disruptions = append(ck.disruptions, Disruption{Node: node, From: from})
	return func(to time.Duration) {
		ck.mu.Lock()
		defer ck.mu.Unlock()
		ck.disruptions[at].To = to
	}
}

// Call records and checks the outcome of a call.
func (ck *Checker) Call(c Call) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	rec := ck.records[c.WorkID]
	if rec == nil {
		rec = &callRecord{idempotent: c.Idempotent}
		ck.records[c.WorkID] = rec
	}
	rec.call = &c
	ck.countCall(c)
	ck.tellLocked(c)
	ck.checkBlame(c, rec)
	if c.Reason == limited && !ck.isLimitPossible(c.Service, c.Sent) {
		ck.addLocked(StaleLimit, c.Ended, c.WorkID+" was refused within a limit that no upstream names", rec)
	}
	for _, other := range c.AnswerIDs {
		if other != c.WorkID {
			ck.addLocked(Crossed, c.Ended, fmt.Sprintf("%s received something other than its own answer: %q", c.WorkID, other), rec)
		}
	}
	if c.isRefused() && len(rec.runs) > 0 {
		ck.addLocked(FalseNotRun, c.Ended, c.WorkID+" was reported as not run but had run", rec)
	}
	if c.isLost() {
		ck.pending = append(ck.pending, rec)
	}
}

// RecordWrongExit records a process that exited without being asked to, or not in the
// way it should, or that did not exit in time.
func (ck *Checker) RecordWrongExit(name, status string, at time.Duration) {
	ck.AddViolation(WrongExit, at, name+" did not exit as expected: "+status)
}

// AddViolation adds a violation that the caller detected itself.
func (ck *Checker) AddViolation(k Kind, at time.Duration, text string) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.addLocked(k, at, text, &callRecord{})
}

// EvaluatePending decides whether pending calls whose runs are all known by now are lost
// or excused by an unplanned fault.
func (ck *Checker) EvaluatePending(now time.Duration) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	rest := ck.pending[:0]
	for _, rec := range ck.pending {
		switch {
		case now < rec.call.Ended+runReportDelay:
			rest = append(rest, rec)
		case ck.isExcused(rec):
			ck.tally.Excused++
		default:
			// The text also stands for answers that are incomplete or "unknown".
			ck.addLocked(Lost, rec.call.Ended, rec.call.WorkID+" was sent completely but got no answer from its upstream", rec)
		}
	}
	ck.pending = rest
}

// CheckRecovery adds a violation unless calls were sent within a time span and at least
// the given share of them was answered with status 200.
func (ck *Checker) CheckRecovery(from, to time.Duration, minShare float64) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	total, answered := 0, 0
	for _, e := range ck.outcomes {
		if e.sent >= from && e.sent < to {
			total++
			if e.answered {
				answered++
			}
		}
	}
	if float64(answered) < minShare*float64(total) || total == 0 {
		ck.addLocked(Unrecovered, to, fmt.Sprintf("%d of %d calls sent from %v to %v were answered", answered, total, from, to), &callRecord{})
	}
}

// Violations returns the violations found so far.
func (ck *Checker) Violations() []Violation {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	return append([]Violation(nil), ck.violations...)
}

// Tally returns the counts so far.
func (ck *Checker) Tally() Tally {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	t := ck.tally
	t.Reasons = maps.Clone(t.Reasons)
	return t
}
