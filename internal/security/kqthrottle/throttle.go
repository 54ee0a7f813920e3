package kqthrottle

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burst is the number of failures without a wait, for a person who pastes the
	// wrong token.
	burst = 10
	// refillInterval is the time after which one more failure is allowed.
	// Operators' tokens have 256 random bits, so guessing one is infeasible even
	// without a limit; the limit keeps a broken script from filling the logs and the
	// audit log.
	refillInterval = 6 * time.Second
	// maxSources is the number of sources kept; it bounds the memory.
	maxSources = 4096
)

// Throttle holds a rate limiter of failures for each source, which is the IP address
// that attempts come from. It is safe for concurrent use.
type Throttle struct {
	mu      sync.Mutex
	sources map[string]*rate.Limiter
}

// New returns a throttle without any recorded failure.
func New() *Throttle { return &Throttle{sources: make(map[string]*rate.Limiter)} }

// Wait returns how long the source must wait before its next attempt, 0 if it may try
// now.
func (t *Throttle) Wait(source string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.sources[source]
	if !ok || l.TokensAt(now) >= 1 {
		return 0
	}
	return time.Duration((1 - l.TokensAt(now)) * float64(refillInterval))
}

// RecordFailure records a failure of the source.
func (t *Throttle) RecordFailure(source string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.sources[source]
	if !ok {
		t.evict(now)
		l = rate.NewLimiter(rate.Every(refillInterval), burst)
		t.sources[source] = l
	}
	l.AllowN(now, 1)
}

// evict makes room for another source if there are maxSources. It removes all sources
// that may again fail burst times; if there is none, it removes an arbitrary one, which
// at worst allows that source a new burst.
func (t *Throttle) evict(now time.Time) {
	if len(t.sources) < maxSources {
		return
	}
	for s, l := range t.sources {
		if l.TokensAt(now) >= burst {
			delete(t.sources, s)
		}
	}
	for s := range t.sources {
		if len(t.sources) < maxSources {
			return
		}
		delete(t.sources, s)
	}
}
