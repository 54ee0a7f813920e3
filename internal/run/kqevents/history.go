package kqevents

import (
	"fmt"
	"sync"
	"time"
)

const (
	// maxEvents is how many events are kept: enough for those of a shutdown and of a
	// rolling restart of a fleet.
	maxEvents = 12
	// maxAge is how long an event is repeated. A log collector that keeps a limited
	// number of bytes of each process has room for about a minute of lines at normal rates.
	maxAge = time.Minute
)

type (
	// History holds the last events of a process, to be logged again for a while. A log
	// collector that keeps only the last part of a log loses the line of a signal within
	// seconds when many calls fail, which is when it is needed. History is safe for
	// concurrent use.
	History struct {
		mu     sync.Mutex
		events []event
	}

	event struct {
		text string
		at   time.Time
	}
)

// Add records an event. It replaces the oldest one if there are maxEvents.
func (h *History) Add(text string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.events) == maxEvents {
		h.events = append(h.events[:0], h.events[1:]...)
	}
	h.events = append(h.events, event{text: text, at: now})
}

// Recent returns the events up to maxAge old, oldest first, with their ages.
func (h *History) Recent(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var texts []string
	for _, e := range h.events {
		if age := now.Sub(e.at); age <= maxAge {
			texts = append(texts, fmt.Sprintf("%s (%.1f s ago)", e.text, age.Seconds()))
		}
	}
	return texts
}
