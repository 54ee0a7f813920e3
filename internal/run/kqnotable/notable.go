package kqnotable

import (
	"fmt"
	"sync"
	"time"
)

const (
	// kept is how many events are remembered: those of a leave, and of a fleet's
	// being restarted in turn.
	kept = 12
	// fresh is how long an event is told again; collectors of logs that keep only so
	// many bytes of each process have kept a minute's worth of lines in calm times.
	fresh = time.Minute
)

type (
	// Notable is the last events of a process, to be told again for a while: a
	// collector that keeps the last part of a log only loses the line of a signal
	// within seconds when many calls fail, which is when it is looked for. It is safe
	// for concurrent use.
	Notable struct {
		mu     sync.Mutex
		events []event
	}

	event struct {
		text string
		at   time.Time
	}
)

// Add remembers an event, in place of the oldest if there are many.
func (n *Notable) Add(text string, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.events) == kept {
		n.events = append(n.events[:0], n.events[1:]...)
	}
	n.events = append(n.events, event{text: text, at: now})
}

// Fresh returns the events of the last minute, oldest first, with their ages.
func (n *Notable) Fresh(now time.Time) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var texts []string
	for _, e := range n.events {
		if age := now.Sub(e.at); age <= fresh {
			texts = append(texts, fmt.Sprintf("%s (%.1f s ago)", e.text, age.Seconds()))
		}
	}
	return texts
}
