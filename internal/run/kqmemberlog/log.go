package kqmemberlog

import (
	"slices"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// period is the least time between two lines.
	period = time.Second
	// maxNames bounds the names of each state in a line.
	maxNames = 64
)

// Log collects changes until the next line is due. It is safe for concurrent use.
type Log struct {
	mu sync.Mutex
	// states holds the state of each member when its change was last collected.
	states map[kqname.Node]kqmember.State
	// changed holds the members whose state has changed since the last line, and records
	// counts all changes of records since then.
	changed map[kqname.Node]bool
	records int
	lastAt  time.Time
}

// New returns an empty Log.
func New() *Log {
	return &Log{states: make(map[kqname.Node]kqmember.State), changed: make(map[kqname.Node]bool)}
}

// Add collects a member's changed record.
func (l *Log) Add(m kqmember.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records++
	if before, known := l.states[m.Node]; !known || before != m.State {
		l.states[m.Node] = m.State
		l.changed[m.Node] = true
	}
}

// Take returns the fields of a line with the changes since the last one, if there are any
// and a line is due: the number of changed records and, by state, the members that now have
// it and had another. Each list is cut off after maxNames; omitted counts the names left out.
func (l *Log) Take(now time.Time) (fields map[string]any, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.records == 0 || now.Sub(l.lastAt) < period {
		return nil, false
	}
	names := make(map[kqmember.State][]kqname.Node)
	for n := range l.changed {
		names[l.states[n]] = append(names[l.states[n]], n)
	}
	fields = map[string]any{"records": l.records}
	omitted := 0
	for state, list := range names {
		slices.Sort(list)
		if len(list) > maxNames {
			omitted += len(list) - maxNames
			list = list[:maxNames]
		}
		fields[state.String()] = list
	}
	if omitted > 0 {
		fields["omitted"] = omitted
	}
	clear(l.changed)
	l.records, l.lastAt = 0, now
	return fields, true
}
