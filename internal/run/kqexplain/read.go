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

// maxLine bounds one line, in bytes; longer ones are no log of a node.
const maxLine = 1 << 20

type (
	// Log holds the lines of any number of nodes.
	Log struct {
		lines []line
		// skipped counts, for each file, the lines that are no log.
		skipped map[string]int
	}

	// line is one line of a node's log; fields that an event does not have are
	// zero.
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

		Route   string  `json:"route"`
		Service string  `json:"service"`
		Class   string  `json:"class"`
		Version uint64  `json:"version"`
		Took    float64 `json:"took_ms"`
		Left    float64 `json:"left_ms"`
		Retry   float64 `json:"retry_after_ms"`
		Tries   []try   `json:"tries"`

		Instance string  `json:"instance"`
		Running  int     `json:"running"`
		Waiting  int     `json:"waiting"`
		Slots    int     `json:"slots"`
		Waited   float64 `json:"waited_ms"`
		Expected float64 `json:"expected_ms"`

		Member    string   `json:"member"`
		State     string   `json:"state"`
		Upstreams []string `json:"upstreams"`
	}

	try struct {
		To      string  `json:"to"`
		Result  string  `json:"result"`
		Reason  string  `json:"reason"`
		Status  int     `json:"status"`
		Sent    int     `json:"sent"`
		Running int     `json:"running"`
		Waiting int     `json:"waiting"`
		Slots   int     `json:"slots"`
		Age     float64 `json:"load_age_ms"`
		Left    float64 `json:"left_ms"`
		Took    float64 `json:"took_ms"`
		Again   bool    `json:"again"`
		Ejected bool    `json:"ejected"`
	}
)

// Read adds a file's lines. What is no line of a node's log, or is cut short, is
// passed over and counted.
func (l *Log) Read(name string, file io.Reader) error {
	scanner := bufio.NewScanner(file)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	if l.skipped == nil {
		l.skipped = make(map[string]int)
	}
	for scanner.Scan() {
		// Collectors put their own words before a line.
		start := bytes.IndexByte(scanner.Bytes(), '{')
		var one line
		if start < 0 || json.Unmarshal(scanner.Bytes()[start:], &one) != nil || one.Time.IsZero() || one.Node == "" {
			l.skipped[name]++
			continue
		}
		l.lines = append(l.lines, one)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	return nil
}

// Skipped tells, a sentence a file, what was passed over.
func (l *Log) Skipped() []string {
	var list []string
	for name, count := range l.skipped {
		list = append(list, fmt.Sprintf("%s: %d lines are no node's log and were passed over.", name, count))
	}
	slices.Sort(list)
	return list
}

// of returns the lines of a request and of the calls that it caused, in order of
// time. A caused call's id begins with its cause's.
func (l *Log) of(id string) []line {
	var list []line
	for _, one := range l.lines {
		if one.ID == id || strings.HasPrefix(one.ID, id+".") {
			list = append(list, one)
		}
	}
	slices.SortStableFunc(list, func(a, b line) int { return a.Time.Compare(b.Time) })
	return list
}

// last returns a node's last line before a time that fits, and whether there is
// one.
func (l *Log) last(node string, before time.Time, fits func(line) bool) (line, bool) {
	var best, started line
	for _, one := range l.lines {
		switch {
		case one.Node != node || one.Time.After(before):
		case one.Event == "started" && !one.Time.Before(started.Time):
			started = one
		case fits(one) && !one.Time.Before(best.Time):
			best = one
		}
	}
	// What an earlier process of the node believed is gone with it.
	return best, best.Node != "" && !best.Time.Before(started.Time)
}
