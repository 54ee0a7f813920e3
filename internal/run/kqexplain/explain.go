package kqexplain

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ErrNotFound is returned if no log has a line of the call.
var ErrNotFound = errors.New("no log line of this request")

// Explain describes the handling of a call and of the calls that it caused, one
// sentence per string in order of time. The last one states the cause of the
// outcome.
func (l *Log) Explain(id string) ([]string, error) {
	lines := l.callLines(id)
	if len(lines) == 0 {
		return nil, fmt.Errorf("explain %q: %w; successes are sampled, and lines over the rate limit of their reason are suppressed", id, ErrNotFound)
	}
	var description []string
	var end *line
	for i, one := range lines {
		description = append(description, l.sentences(one)...)
		if one.ID == id && one.Event == "ended" {
			end = &lines[i]
		}
	}
	if end == nil {
		// The line is also missing if the log of the entry's node was not read, or if the
		// node sampled the call out.
		return append(description, "Cause: unknown. The log line of the request's entry is missing: the node died, or the line was suppressed."), nil
	}
	return append(description, "Cause: "+l.cause(*end, lines)), nil
}

// sentences describes one log line; a call at the entry has one further sentence
// for each attempt, and one for its outcome.
func (l *Log) sentences(one line) []string {
	at := fmt.Sprintf("%s %s", one.Time.Format("15:04:05.000"), one.Node)
	switch one.Event {
	case "gated":
		text := fmt.Sprintf("%s gate: %s%s, %s, %d of %d slots in use, %d waiting, queued for %.0f ms, at the upstream for %.0f ms, %.0f ms left.",
			at, one.ID, workspaceText(one.Workspace), outcomeText(one.Result, one.Reason, one.Status), one.Running, one.Slots, one.Waiting, one.Waited, one.Took, one.TimeLeft)
		return []string{text}
	case "ended":
		list := []string{fmt.Sprintf("%s entry: %s matched route %q of service %s by version %d%s.", at, one.ID, one.Route, one.Service, one.Version, l.entryKnowledge(one))}
		for i, t := range one.Attempts {
			text := fmt.Sprintf("  attempt %d to %s with %.0f ms left (load reported %.0f ms before: %d running, %d waiting, %d slots; %d in flight from this entry): %s after %.0f ms",
				i+1, t.To, t.TimeLeft, t.LoadAge, t.Running, t.Waiting, t.Slots, t.InFlight, outcomeText(t.Result, t.Reason, t.Status), t.Took)
			if t.Ejected {
				text += "; upstream ejected"
			}
			if t.Resent {
				text += "; retried on another upstream"
			}
			list = append(list, text+".")
		}
		return append(list, fmt.Sprintf("  ended: %s after %.0f ms%s.", outcomeText(one.Result, one.Reason, one.Status), one.Took, retryAdvice(one.RetryAfter)))
	default:
		return []string{fmt.Sprintf("%s %s: %s", at, one.Part, one.Text)}
	}
}

// entryKnowledge describes, from earlier log lines, what the entry's node knew when
// the call arrived: for how long the node had used its configuration snapshot and the
// store had been unavailable, and the states of the nodes that the call was sent to. It
// returns "" if there are no such lines. A snapshot may be newer than its version, since
// each host that is fetched yields one.
func (l *Log) entryKnowledge(one line) string {
	began := one.Time.Add(-time.Duration(one.Took * float64(time.Millisecond)))
	var list []string
	if v, ok := l.lastLine(one.Node, began, func(o line) bool { return o.Event == "applied" }); ok {
		list = append(list, fmt.Sprintf("version in force for %s", began.Sub(v.Time).Round(time.Millisecond)))
	}
	// Of the lines of event "store", only "Store does not answer." has "does not".
	if s, ok := l.lastLine(one.Node, began, func(o line) bool { return o.Event == "store" }); ok && strings.Contains(s.Text, "does not") {
		list = append(list, fmt.Sprintf("store unreachable for %s", began.Sub(s.Time).Round(time.Millisecond)))
	}
	for _, t := range one.Attempts {
		if m, ok := l.lastLine(one.Node, began, func(o line) bool { return o.Event == "member" && o.Member == t.To }); ok {
			list = append(list, fmt.Sprintf("%s %s for %s", t.To, m.State, began.Sub(m.Time).Round(time.Millisecond)))
		}
	}
	if len(list) == 0 {
		return ""
	}
	return " (" + strings.Join(list, ", ") + ")"
}

// cause describes why the call ended as it did.
func (l *Log) cause(end line, lines []line) string {
	var last attempt
	if n := len(end.Attempts); n > 0 {
		last = end.Attempts[n-1]
	}
	switch end.Reason {
	case "":
		return l.answeredCause(end, last, lines)
	case "overload":
		return fmt.Sprintf("overload. The gates of %s had refused most calls of class %q in the seconds before, so the entry refused it unsent.", end.Service, end.Class)
	case "queue_full":
		// All attempts count, whatever their outcome. The load is what the gate had last
		// reported before the attempt, and no room may also mean no further connection.
		return fmt.Sprintf("overload. %d gates of %s had no room within the time that the request could wait; the last, %s, had %d of %d slots in use and %d calls waiting.",
			len(end.Attempts), end.Service, last.To, last.Running, last.Slots, last.Waiting)
	case "limited":
		return fmt.Sprintf("limit. The last of %d gates of %s, %s, keeps its upstream to the limit of calls a second that it names in its answers, and no other had room.",
			len(end.Attempts), end.Service, last.To)
	case "late":
		return lateCause(end, last, lines)
	case "no_upstream":
		return fmt.Sprintf("no upstream. The entry knew of none of %s that takes calls%s.", end.Service, l.unavailableMembers(end))
	case "no_config":
		return "no configuration. The entry could not get the configuration of the host in time, or had just started and held no version yet."
	case "no_route":
		return fmt.Sprintf("no route. Version %d has no route for its host and path.", end.Version)
	case "timeout":
		return fmt.Sprintf("timeout. It was at %s when its deadline passed after %.0f ms%s.", last.To, end.Took, l.laterMemberState(end, last.To))
	// "draining" also means that the entry's node was stopping and refused the call, without
	// an attempt, or cancelled it.
	case "quarantined":
		return fmt.Sprintf("quarantine. Upstreams ended under request %s, which this one is by its content; \"kumquatgw requests list\" shows them.", end.Request)
	case "upstream_ended":
		return fmt.Sprintf("the upstream at %s, which ended while it ran the request, after %.0f ms; %s.", last.To, last.Took, noRetryReason(end))
	case "cut", "connect_failed", "draining", "rolled_back", "moved", "crossed", "malformed_response", "shed":
		return fmt.Sprintf("the upstream. The last attempt, to %s, ended as %s after %.0f ms%s; %s.", last.To, end.Reason, last.Took, l.laterMemberState(end, last.To), noRetryReason(end))
	case "no_key", "unknown_key", "unverified_key", "key_revoked", "unknown_parent":
		return l.keyCause(end, last)
	case "over_rate":
		return l.rateCause(end)
	case "cancelled":
		return "the caller, which disconnected before the answer."
	default:
		return end.Reason + "."
	}
}

// lateCause describes why a call was refused as too late, with the inputs of the last gate that
// logged it.
func lateCause(end line, last attempt, lines []line) string {
	if len(end.Attempts) == 0 {
		return fmt.Sprintf("overload. The entry refused it%s unsent with %.0f ms left, in which no upstream of %s could have answered it.", workspaceText(end.Workspace), end.TimeLeft, end.Service)
	}
	// Also if no connection to the gate was made in time.
	text := fmt.Sprintf("overload. It waited%s at the gate of %s until it was too late to start, and was refused without reaching the upstream", workspaceText(end.Workspace), last.To)
	for _, one := range slices.Backward(lines) {
		if one.Event == "gated" && one.ID == end.ID && one.Reason == "late" {
			return text + fmt.Sprintf("; it was queued for %.0f ms beside %d waiting calls, with %d of %d slots in use and recent calls of %.0f ms.", one.Waited, one.Waiting, one.Running, one.Slots, one.Expected)
		}
	}
	return text + "."
}

// workspaceText names the workspace that a call was made for, and is "" if there is none.
func workspaceText(name string) string {
	if name == "" {
		return ""
	}
	return fmt.Sprintf(" for workspace %q", name)
}

// answeredCause describes the cause of an answer: none if its status is under 500, else
// the first failed call that the call caused, or the upstream itself if there is none.
func (l *Log) answeredCause(end line, last attempt, lines []line) string {
	if end.Status < 500 {
		return "none; the request was answered."
	}
	for _, one := range lines {
		if one.ID != end.ID && one.Event == "ended" && (one.Result != "answered" || one.Status >= 500) {
			return fmt.Sprintf("a call that it caused. %s ended as %s; the upstream at %s then answered the request with %d.", one.ID, outcomeText(one.Result, one.Reason, one.Status), last.To, end.Status)
		}
	}
	return fmt.Sprintf("the upstream at %s, which answered %d itself after %.0f ms; %s.", last.To, end.Status, last.Took, noRetryReason(end))
}

// laterMemberState describes the last state that the entry's node logged for another
// node no later than 5 s after the call ended. It returns "" if that is alive or there
// is none.
func (l *Log) laterMemberState(end line, node string) string {
	const window = 5 * time.Second
	m, ok := l.lastLine(end.Node, end.Time.Add(window), func(o line) bool { return o.Event == "member" && o.Member == node })
	if !ok || m.State == "alive" {
		return ""
	}
	return fmt.Sprintf("; that node was marked %s at %s", m.State, m.Time.Format("15:04:05.000"))
}

// unavailableMembers describes how many members were not alive by the last state that
// the entry's node logged for each until the call ended. It returns "" if there are none.
func (l *Log) unavailableMembers(end line) string {
	states := make(map[string]string)
	for _, one := range l.lines {
		if one.Node == end.Node && one.Event == "member" && !one.Time.After(end.Time) {
			states[one.Member] = one.State
		}
	}
	count := 0
	for _, s := range states {
		if s != "alive" {
			count++
		}
	}
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("; %d of %d known members were not alive", count, len(states))
}

// noRetryReason describes why the call was not retried, or not once more. The log does not
// state the reason: the last text also stands for a call with no other upstream left.
func noRetryReason(end line) string {
	switch {
	case len(end.Attempts) > 1:
		return fmt.Sprintf("%d upstreams were tried", len(end.Attempts))
	case end.TimeLeft <= 0:
		return "no time was left for a retry"
	default:
		return "it was not safe to retry, or the retry budget was used up"
	}
}

// outcomeText returns the result, with reason and status where there are any.
func outcomeText(result, reason string, status int) string {
	text := result
	if reason != "" {
		text += ", " + reason
	}
	if status > 0 {
		text += fmt.Sprintf(", status %d", status)
	}
	return text
}

// retryAdvice describes after how many milliseconds the caller was told to retry. It
// returns "" for 0, which means that it was not told.
func retryAdvice(ms float64) string {
	if ms == 0 {
		return ""
	}
	return fmt.Sprintf(", caller told to retry after %.0f ms", ms)
}
