package kqexplain

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// ErrNoLine tells that no log has a line of the request.
var ErrNoLine = errors.New("no line of this request")

// Explain returns the request's way as sentences, in order of time, and the cause
// of its end as the last one.
func (l *Log) Explain(id string) ([]string, error) {
	lines := l.of(id)
	if len(lines) == 0 {
		return nil, fmt.Errorf("explain %q: %w; successes are sampled, and lines over the rate of their reason are left out", id, ErrNoLine)
	}
	var told []string
	var end *line
	for i, one := range lines {
		told = append(told, l.sentences(one)...)
		if one.ID == id && one.Event == "ended" {
			end = &lines[i]
		}
	}
	if end == nil {
		return append(told, "Cause: not known. The line of the node that took the request is missing; it died, or its lines were left out."), nil
	}
	return append(told, "Cause: "+l.cause(*end, lines)), nil
}

func (l *Log) sentences(one line) []string {
	at := fmt.Sprintf("%s %s", one.Time.Format("15:04:05.000"), one.Node)
	switch one.Event {
	case "gated":
		text := fmt.Sprintf("%s gate: %s, %s, %d of %d slots in use, %d waiting, waited %.0f ms, at the upstream %.0f ms, %.0f ms left.",
			at, one.ID, outcome(one.Result, one.Reason, one.Status), one.Running, one.Slots, one.Waiting, one.Waited, one.Took, one.Left)
		return []string{text}
	case "ended":
		list := []string{fmt.Sprintf("%s entry: %s matched route %q of service %s by version %d%s.", at, one.ID, one.Route, one.Service, one.Version, l.beliefs(one))}
		for i, t := range one.Tries {
			text := fmt.Sprintf("  try %d to %s with %.0f ms left (told %.0f ms before: %d running, %d waiting, %d slots; %d on the way): %s after %.0f ms",
				i+1, t.To, t.Left, t.Age, t.Running, t.Waiting, t.Slots, t.Sent, outcome(t.Result, t.Reason, t.Status), t.Took)
			if t.Ejected {
				text += "; left out from then on"
			}
			if t.Again {
				text += "; sent on to another"
			}
			list = append(list, text+".")
		}
		return append(list, fmt.Sprintf("  ended: %s after %.0f ms%s.", outcome(one.Result, one.Reason, one.Status), one.Took, retry(one.Retry)))
	default:
		return []string{fmt.Sprintf("%s %s: %s", at, one.Part, one.Text)}
	}
}

// beliefs tells what the entry believed of the store and of the upstreams' nodes.
func (l *Log) beliefs(one line) string {
	began := one.Time.Add(-time.Duration(one.Took * float64(time.Millisecond)))
	var list []string
	if v, ok := l.last(one.Node, began, func(o line) bool { return o.Event == "applied" }); ok {
		list = append(list, fmt.Sprintf("in force for %s", began.Sub(v.Time).Round(time.Millisecond)))
	}
	if s, ok := l.last(one.Node, began, func(o line) bool { return o.Event == "store" }); ok && strings.Contains(s.Text, "does not") {
		list = append(list, fmt.Sprintf("store lost %s before", began.Sub(s.Time).Round(time.Millisecond)))
	}
	for _, t := range one.Tries {
		if m, ok := l.last(one.Node, began, func(o line) bool { return o.Event == "member" && o.Member == t.To }); ok {
			list = append(list, fmt.Sprintf("%s %s since %s", t.To, m.State, began.Sub(m.Time).Round(time.Millisecond)))
		}
	}
	if len(list) == 0 {
		return ""
	}
	return " (" + strings.Join(list, ", ") + ")"
}

// cause tells in one sentence why the request ended as it did.
func (l *Log) cause(end line, lines []line) string {
	var last try
	if n := len(end.Tries); n > 0 {
		last = end.Tries[n-1]
	}
	switch end.Reason {
	case "":
		return l.answered(end, last, lines)
	case "overload":
		return fmt.Sprintf("overload. The gates of %s had refused most calls of class %q in the seconds before, so the entry refused it unsent.", end.Service, end.Class)
	case "queue_full":
		return fmt.Sprintf("overload. %d gates of %s had no room within the time that the call may wait; %s had %d of %d slots in use and %d waiting.",
			len(end.Tries), end.Service, last.To, last.Running, last.Slots, last.Waiting)
	case "late":
		return fmt.Sprintf("overload. It waited at the gate of %s for longer than it was promised and was given up unsent.", last.To)
	case "no_upstream":
		return fmt.Sprintf("no upstream. The entry knew of none of %s that takes calls%s.", end.Service, l.gone(end))
	case "no_config":
		return "no configuration. The node had started and held no version yet."
	case "no_route":
		return fmt.Sprintf("no route. Version %d has none for its host and path.", end.Version)
	case "timeout":
		return fmt.Sprintf("time. %s had it when its time of %.0f ms was up%s.", last.To, end.Took, l.after(end, last.To))
	case "cut", "connect_failed", "draining", "rolled_back", "moved", "crossed", "shed":
		return fmt.Sprintf("its upstream. The last try, to %s, ended as %s after %.0f ms%s; %s.", last.To, end.Reason, last.Took, l.after(end, last.To), repeat(end))
	case "cancelled":
		return "its caller, who left before the answer."
	default:
		return end.Reason + "."
	}
}

func (l *Log) answered(end line, last try, lines []line) string {
	if end.Status < 500 {
		return "none; it was answered."
	}
	for _, one := range lines {
		if one.ID != end.ID && one.Event == "ended" && (one.Result != "answered" || one.Status >= 500) {
			return fmt.Sprintf("a call that it caused. %s ended as %s; the upstream at %s then failed it with %d.", one.ID, outcome(one.Result, one.Reason, one.Status), last.To, end.Status)
		}
	}
	return fmt.Sprintf("the upstream at %s, which answered %d itself after %.0f ms; %s.", last.To, end.Status, last.Took, repeat(end))
}

// after tells what the entry learnt of an upstream's node soon after.
func (l *Log) after(end line, node string) string {
	const soon = 5 * time.Second
	m, ok := l.last(end.Node, end.Time.Add(soon), func(o line) bool { return o.Event == "member" && o.Member == node })
	if !ok || m.State == "alive" {
		return ""
	}
	return fmt.Sprintf("; that node was held to be %s from %s on", m.State, m.Time.Format("15:04:05.000"))
}

// gone names the nodes that the entry held to be gone or going.
func (l *Log) gone(end line) string {
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
	return fmt.Sprintf("; it held %d of %d members not to be alive", count, len(states))
}

// repeat tells why the call was not sent again.
func repeat(end line) string {
	switch {
	case len(end.Tries) > 1:
		return fmt.Sprintf("%d upstreams were tried", len(end.Tries))
	case end.Left <= 0:
		return "no time was left for another"
	default:
		return "it may not be repeated, or the bound on second sendings was used up"
	}
}

func outcome(result, reason string, status int) string {
	text := result
	if reason != "" {
		text += ", " + reason
	}
	if status > 0 {
		text += fmt.Sprintf(", status %d", status)
	}
	return text
}

func retry(ms float64) string {
	if ms == 0 {
		return ""
	}
	return fmt.Sprintf(", told to come back after %.0f ms", ms)
}
