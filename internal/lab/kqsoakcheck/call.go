package kqsoakcheck

import (
	"net/http"
	"slices"
	"time"
)

const (
	answered = "answered"
	notRun   = "not_run"
	unknown  = "unknown"
	// timeout is the reason of calls whose time was up.
	timeout = "timeout"
)

// refused reports whether the caller was told that the call has not run and never
// will. An upstream's own refusal has the result "answered".
func (c *Call) refused() bool {
	return c.Complete && (c.Status == http.StatusServiceUnavailable || c.Status == http.StatusTooManyRequests) && c.Result != answered
}

// lost reports whether the call has no answer, though it was sent whole.
func (c *Call) lost() bool {
	switch {
	case !c.Complete:
		return c.Whole
	case c.Result == unknown:
		return c.Reason != timeout || c.Ended-c.Sent < c.Allowed
	default:
		return false
	}
}

func (j *Judge) count(c Call) {
	j.tally.Calls++
	switch {
	case !c.Complete:
		j.tally.Cut++
	case c.Result == unknown:
		j.tally.Unknown++
	case c.Result == notRun:
		j.tally.NotRun++
	default:
		j.tally.Answered++
	}
	if c.Reason != "" {
		j.tally.Reasons[c.Reason]++
	}
	j.ends = append(j.ends, end{sent: c.Sent, answered: c.Complete && c.Status == http.StatusOK})
}

// excused reports whether an unplanned fault touched the call's way: the node that
// took it, those where it ran, or, where it ran nowhere, any to which it may have
// been on its way.
func (j *Judge) excused(s *story) bool {
	if len(s.runs) == 0 {
		return j.touched(Any, s.call.Sent, s.call.Ended)
	}
	return j.touched(s.call.Node, s.call.Sent, s.call.Ended) || slices.ContainsFunc(s.runs, func(r Run) bool {
		return j.touched(r.Node, s.call.Sent, s.call.Ended)
	})
}

// touched reports whether a node, or any, had an unplanned fault in a span of time, or
// shortly before.
func (j *Judge) touched(node int, from, to time.Duration) bool {
	return slices.ContainsFunc(j.touches, func(t Touch) bool {
		return (node == Any || t.Node == node) && t.From <= to && (t.To == 0 || from <= t.To+reunion)
	})
}

func (j *Judge) add(k Kind, at time.Duration, text string, s *story) {
	v := Violation{Kind: k, At: at, Text: text, Runs: slices.Clone(s.runs)}
	if s.call != nil {
		c := *s.call
		v.Call = &c
	}
	j.violations = append(j.violations, v)
}
