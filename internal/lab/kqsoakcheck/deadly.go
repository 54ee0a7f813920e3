package kqsoakcheck

import (
	"fmt"
	"strings"
	"time"
)

const (
	// SentOn is a call that began to run although maxEnded upstreams had ended under its
	// request, while no unplanned fault could explain it.
	SentOn Kind = "SENT_ON"
	// Blamed is a usual request that is refused as one that ends upstreams.
	Blamed Kind = "BLAMED"

	// DeadlyPrefix begins the work ids of calls of requests that end their upstreams. The
	// request is named up to the caller's number.
	DeadlyPrefix = "deadly"

	// maxEnded is the number of upstreams that may end under one request.
	maxEnded = 3
	// blameGrace is how long a usual request may be refused because upstreams ended under it:
	// the call that tries it must end first.
	blameGrace = 3 * time.Second
	// clearGrace is how long the answer that clears a usual request may take to reach all nodes.
	clearGrace = time.Second
	// quarantined is the reason given for calls of requests under which upstreams ended.
	quarantined = "quarantined"
)

type (
	// endsUnder holds when upstreams ended under one request.
	endsUnder []time.Duration

	// clearance is the time span of an answered call that clears its request of all ends.
	clearance struct{ sent, ended time.Duration }
)

// requestOf returns the request that ends its upstreams of which the work id is, "" for others.
func requestOf(workID string) string {
	request, _, _ := strings.Cut(workID, "-")
	if !strings.HasPrefix(workID, DeadlyPrefix) {
		return ""
	}
	return request
}

// EndedUnder records that an upstream ends under a call.
func (ck *Checker) EndedUnder(workID string, at time.Duration) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	if request := requestOf(workID); request != "" {
		ck.deadly[request] = append(ck.deadly[request], at)
		ck.tally.EndedUnder++
	}
}

// EndedUnderCall records the end of a node's upstream under a call and returns the function that
// records its replacement. It excuses what a disruption does, but not that the request is
// sent on.
func (ck *Checker) EndedUnderCall(node int, from time.Duration) func(to time.Duration) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	at := len(ck.disruptions)
	ck.disruptions = append(ck.disruptions, Disruption{Node: node, From: from, UnderCall: true})
	return func(to time.Duration) {
		ck.mu.Lock()
		defer ck.mu.Unlock()
		ck.disruptions[at].To = to
	}
}

// checkDeadly checks a call that begins at an upstream against the ends under its request. Nodes that
// were killed, paused or cut off meanwhile may not have heard of them. The caller holds mu.
func (ck *Checker) checkDeadly(workID string, rec *callRecord, node int, at time.Duration) {
	ends := ck.deadly[requestOf(workID)]
	if len(ends) < maxEnded || at <= ends[maxEnded-1] {
		return
	}
	if ck.hadOtherFault(rec.node, ends[0], at) || ck.hadOtherFault(node, ends[0], at) {
		return
	}
	ck.addLocked(SentOn, at, fmt.Sprintf("%s began although %d upstreams had ended under its request, the third %v before", workID, len(ends), at-ends[maxEnded-1]), rec)
}

// checkBlame checks a usual call that was refused because upstreams ended under its request. The caller
// holds mu.
func (ck *Checker) checkBlame(c Call, rec *callRecord) {
	if !c.Idempotent || requestOf(c.WorkID) != "" {
		return
	}
	cl, cleared := ck.cleared[c.Route]
	cleared = cleared && ck.isQuiet(cl.sent, c.Ended)
	switch since, blamed := ck.blamedSince[c.Route]; {
	case c.Reason != quarantined && c.Result == answered:
		delete(ck.blamedSince, c.Route)
		if !cleared && ck.isQuiet(c.Sent, c.Ended) {
			ck.cleared[c.Route] = clearance{c.Sent, c.Ended}
		}
	case c.Reason == quarantined && cleared && c.Sent > cl.ended+clearGrace:
		ck.addLocked(Blamed, c.Ended, fmt.Sprintf("%s is refused %v after its request was answered, and no upstream has ended since", c.WorkID, c.Sent-cl.ended), rec)
	case c.Reason == quarantined && !blamed:
		ck.blamedSince[c.Route] = c.Ended
	case c.Reason == quarantined && c.Ended > since+blameGrace && !ck.hadFaultDuring(rec.node, c.Sent, c.Ended):
		ck.addLocked(Blamed, c.Ended, fmt.Sprintf("%s is refused for %v although its request ends no upstream", c.WorkID, c.Ended-since), rec)
	}
}

// isQuiet reports whether no node has had an unplanned fault during a time span or up to faultGrace
// before it. The caller holds mu.
func (ck *Checker) isQuiet(from, to time.Duration) bool {
	for _, f := range ck.disruptions {
		if f.Node != Store && f.From <= to && (f.To == 0 || from <= f.To+faultGrace) {
			return false
		}
	}
	return true
}

// hadFaultDuring reports whether a node had an unplanned fault during a call, such as a pause, in
// which it neither waits nor refuses. The caller holds mu.
func (ck *Checker) hadFaultDuring(node int, sent, ended time.Duration) bool {
	for _, f := range ck.disruptions {
		if !f.UnderCall && f.Node == node && f.From <= ended && (f.To == 0 || sent <= f.To) {
			return true
		}
	}
	return false
}

// hadOtherFault reports whether a node had an unplanned fault during a time span or up to faultGrace
// before it, other than the end of its upstream under a call. The caller holds mu.
func (ck *Checker) hadOtherFault(node int, from, to time.Duration) bool {
	for _, f := range ck.disruptions {
		if !f.UnderCall && f.Node == node && f.From <= to && (f.To == 0 || from <= f.To+faultGrace) {
			return true
		}
	}
	return false
}
