package kqsoakcheck

import (
	"net/http"
	"slices"
	"time"
)

const (
	// answered, notRun and unknown are the results that nodes report for calls.
	answered = "answered"
	notRun   = "not_run"
	unknown  = "unknown"
	// timeout is the reason given for calls that ran out of time.
	timeout = "timeout"
	// limited is the reason given for calls that an upstream's limit kept back.
	limited = "limited"
)

// isRefused reports whether a node answered with status 503 or 429, which says that the
// call has not run and will not run. Such an answer by the upstream itself has the result
// "answered" and does not count.
func (c *Call) isRefused() bool {
	return c.AnswerRead && (c.Status == http.StatusServiceUnavailable || c.Status == http.StatusTooManyRequests) && c.Result != answered
}

// isLost reports whether the request was sent completely but got no complete answer, or
// an answer with the result "unknown" for another reason than the route's timeout or
// before that timeout had passed.
func (c *Call) isLost() bool {
	switch {
	case !c.AnswerRead:
		return c.RequestSent
	case c.Result == unknown:
		return c.Reason != timeout || c.Ended-c.Sent < c.Timeout
	default:
		return false
	}
}

// countCall adds a call's outcome to the tally and to the outcomes that CheckRecovery
// reads. The caller holds mu.
func (ck *Checker) countCall(c Call) {
	ck.tally.Calls++
	switch {
	case !c.AnswerRead:
		ck.tally.Cut++
	case c.Result == unknown:
		ck.tally.Unknown++
	case c.Result == notRun:
		ck.tally.NotRun++
	default:
		ck.tally.Answered++
	}
	if c.Reason != "" {
		ck.tally.Reasons[c.Reason]++
	}
	ck.outcomes = append(ck.outcomes, outcome{sent: c.Sent, answered: c.AnswerRead && c.Status == http.StatusOK})
}

// isExcused reports whether an unplanned fault affected the call: at the node that
// accepted it or at a node where it ran or, if it ran nowhere, at any node, since it
// may have been on its way there.
func (ck *Checker) isExcused(rec *callRecord) bool {
	if len(rec.runs) == 0 {
		return ck.hadFault(AnyNode, rec.call.Sent, rec.call.Ended)
	}
	return ck.hadFault(rec.call.Node, rec.call.Sent, rec.call.Ended) || slices.ContainsFunc(rec.runs, func(r Run) bool {
		return ck.hadFault(r.Node, rec.call.Sent, rec.call.Ended)
	})
}

// hadFault reports whether a node, or any node for AnyNode, had an unplanned fault
// during a time span or up to faultGrace before it.
func (ck *Checker) hadFault(node int, from, to time.Duration) bool {
	return slices.ContainsFunc(ck.disruptions, func(f Disruption) bool {
		return (node == AnyNode && f.Node != Store || f.Node == node) && f.From <= to && (f.To == 0 || from <= f.To+faultGrace)
	})
}

// addLocked adds a violation with copies of the record's call and runs. The caller holds
// mu.
func (ck *Checker) addLocked(k Kind, at time.Duration, text string, rec *callRecord) {
	v := Violation{Kind: k, At: at, Text: text, Runs: slices.Clone(rec.runs)}
	if rec.call != nil {
		c := *rec.call
		v.Call = &c
	}
	ck.violations = append(ck.violations, v)
}
