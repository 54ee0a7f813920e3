package kqgrace

import (
	"sync/atomic"
	"time"
)

const (
	// RetryAfter is the Retry-After of a call that a stopping node refuses: about the time that a
	// node takes to stop and start again.
	RetryAfter = 2 * time.Second
	// workMargin is the factor on the expected work of a call: some calls take longer than usual.
	workMargin = 1.5
)

// Grace is what is left of a node's planned stop. Its zero value is that of a node that does not
// stop. It is safe for concurrent use.
type Grace struct {
	end atomic.Pointer[time.Time]
}

// End sets the time by which all calls must have ended.
func (g *Grace) End(at time.Time) { g.end.Store(&at) }

// Allows reports whether a call that begins now and is expected to work for the given time, 0 if
// that is unknown, ends in the grace.
func (g *Grace) Allows(expectedWork time.Duration, now time.Time) bool {
	end := g.end.Load()
	return end == nil || expectedWork == 0 || !now.Add(time.Duration(workMargin*float64(expectedWork))).After(*end)
}

// IsSet reports whether the node stops.
func (g *Grace) IsSet() bool { return g.end.Load() != nil }
