package kqexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the maximum length of a line in bytes. Nodes write no longer lines,
// and Read fails on a file that has one.
const maxLineBytes = 1 << 20

type (
	// Log holds log lines from any number of nodes.
	Log struct {
		lines []line
		// skipped counts, by file, the lines that are not JSON log lines of a node.
		skipped map[string]int
	}

	// line is one line of a node's log. Fields that its event does not have are zero.
	// Durations are in milliseconds.
	line struct {
		Time   time.Time `json:"time"`
		Node   string    `json:"node"`
		Part   string    `json:"part"`
		Event  string    `json:"event"`
		Text   string    `json:"msg"`
		ID     string    `json:"id"`
		Result string    `json:"result"`
		Reason string    `json:"reason"`
		Status int       `json:"status"`
		// Request is the fingerprint of the call's request.
		Request string `json:"request"`
		// Workspace is the call's tenant, and Key the id of its API key, a part of its digest.
		Workspace string `json:"workspace"`
		Key       string `json:"key"`

		Route      string    `json:"route"`
		Service    string    `json:"service"`
		Class      string    `json:"class"`
		Version    uint64    `json:"version"`
		Took       float64   `json:"took_ms"`
		TimeLeft   float64   `json:"left_ms"`
		RetryAfter float64   `json:"retry_after_ms"`
		Attempts   []attempt `json:"tries"`

		Instance string  `json:"instance"`
		Running  int     `json:"running"`
		Waiting  int     `json:"waiting"`
		Slots    int     `json:"slots"`
		Waited   float64 `json:"waited_ms"`
		Expected float64 `json:"expected_ms"`

		Coordinator bool    `json:"coordinator"`
		RatePerS    float64 `json:"rate_per_s"`
		Burst       float64 `json:"burst"`
		Share       float64 `json:"share"`
		ArrivedPerS float64 `json:"arrived_per_s"`
		Nodes       int     `json:"nodes"`

		Member    string   `json:"member"`
		State     string   `json:"state"`
		Upstreams []string `json:"upstreams"`

		// The members of a line of event "members" whose state has changed, by state.
		Alive   []string `json:"alive"`
		Suspect []string `json:"suspect"`
		Leaving []string `json:"leaving"`
		Dead    []string `json:"dead"`
	}

	// attempt is one attempt to send a call to an upstream, as the entry logged it.
	// Durations are in milliseconds.
	attempt struct {
		To       string  `json:"to"`
		Result   string  `json:"result"`
		Reason   string  `json:"reason"`
		Status   int     `json:"status"`
		InFlight int     `json:"sent"`
		Running  int     `json:"running"`
		Waiting  int     `json:"waiting"`
		Slots    int     `json:"slots"`
		LoadAge  float64 `json:"load_age_ms"`
		TimeLeft float64 `json:"left_ms"`
		Took     float64 `json:"took_ms"`
		// Resent reports whether a further attempt was allowed. None followed if no other
		// upstream was left.
		Resent  bool `json:"again"`
		Ejected bool `json:"ejected"`
	}
)

// Read adds a file's lines. Lines that are truncated, not in the log format json or not
// from a node's log are skipped and counted.
func (l *Log) Read(name string, file io.Reader) error {
	scanner := bufio.NewScanner(file)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	if l.skipped == nil {
		l.skipped = make(map[string]int)
	}
	for scanner.Scan() {
		// Log collectors may put a prefix before the JSON object.
		start := bytes.IndexByte(scanner.Bytes(), '{')
		var parsed line
		if start < 0 || json.Unmarshal(scanner.Bytes()[start:], &parsed) != nil || parsed.Time.IsZero() || parsed.Node == "" {
			l.skipped[name]++
			continue
		}
		l.lines = append(l.lines, parsed.split()...)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	return nil
}

// split returns a line of event "members" as one line of event "member" for each member, and
// any other line as it is.
func (one line) split() []line {
	if one.Event != "members" {
		return []line{one}
	}
	var list []line
	for state, names := range map[string][]string{"alive": one.Alive, "suspect": one.Suspect, "leaving": one.Leaving, "dead": one.Dead} {
		for _, n := range names {
			list = append(list, line{Time: one.Time, Node: one.Node, Part: one.Part, Text: one.Text, Event: "member", Member: n, State: state})
		}
	}
	return list
}

// Skipped returns one sentence for each file with skipped lines.
func (l *Log) Skipped() []string {
	var list []string
	for name, count := range l.skipped {
		list = append(list, fmt.Sprintf("%s: %d lines are not log lines of a node and were skipped.", name, count))
	}
	slices.Sort(list)
	return list
}

// callLines returns the lines of a call and of the calls that it caused, in
// order of time. The id of a caused call is that of its cause, a dot and a suffix.
func (l *Log) callLines(id string) []line {
	var list []line
	for _, one := range l.lines {
		if one.ID == id || strings.HasPrefix(one.ID, id+".") {
			list = append(list, one)
		}
	}
	slices.SortStableFunc(list, func(a, b line) int { return a.Time.Compare(b.Time) })
	return list
}

// lastLine returns the last line of a node for which matches returns true, and whether
// there is one. It ignores lines later than until, and those before the node's last
// start.
func (l *Log) lastLine(node string, until time.Time, matches func(line) bool) (line, bool) {
	var best, started line
	for _, one := range l.lines {
		switch {
		case one.Node != node || one.Time.After(until):
		case one.Event == "started" && !one.Time.Before(started.Time):
			started = one
		case matches(one) && !one.Time.Before(best.Time):
			best = one
		}
	}
	// What an earlier process of the node knew was lost when it ended.
	return best, best.Node != "" && !best.Time.Before(started.Time)
}
