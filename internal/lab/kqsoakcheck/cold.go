package kqsoakcheck

import (
	"fmt"
	"slices"
	"time"
)

// coldStart is the time in which an upstream is cold, and when calls began there.
type coldStart struct {
	rate  int
	until time.Duration
	runs  []time.Duration
}

// Cold records that an upstream is cold until the given time, and how many calls it bears in any
// second until then.
func (ck *Checker) Cold(upstream string, rate int, until time.Duration) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.coldStarts[upstream] = &coldStart{rate: rate, until: until}
}

// checkCold checks a call that begins at an upstream which may be cold. The caller holds mu.
func (ck *Checker) checkCold(rec *callRecord, upstream string, at time.Duration) {
	c, ok := ck.coldStarts[upstream]
	if !ok || at >= c.until {
		return
	}
	c.runs = append(slices.DeleteFunc(c.runs, func(began time.Duration) bool { return began <= at-time.Second }), at)
	if len(c.runs) > c.rate {
		ck.addLocked(TooManyCold, at, fmt.Sprintf("%s, which is cold for %v more, got %d calls in a second; it bears %d", upstream, c.until-at, len(c.runs), c.rate), rec)
	}
}
