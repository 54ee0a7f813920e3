package kqthrottle

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burst failures are free, for a person who pastes the wrong token.
	burst = 10
	// every is the time that earns one more failure back. Tokens are 256
	// random bits, so guessing is hopeless at any rate; the bound keeps a
	// broken script from filling logs and the audit list.
	every = 6 * time.Second
	// maxSources bounds the memory that failures can take.
	maxSources = 4096
)

// Throttle counts failures by source. It is safe for concurrent use.
type Throttle struct {
	mu      sync.Mutex
	sources map[string]*rate.Limiter
}

// New returns a throttle that has seen no failure.
func New() *Throttle { return &Throttle{sources: make(map[string]*rate.Limiter)} }

// Wait returns how long the source must stay away, 0 if it may try now.
func (t *Throttle) Wait(source string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.sources[source]
	if !ok || l.TokensAt(now) >= 1 {
		return 0
	}
	return time.Duration((1 - l.TokensAt(now)) * float64(every))
}

// Failed counts a failure.
func (t *Throttle) Failed(source string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.sources[source]
	if !ok {
		t.forget(now)
		l = rate.NewLimiter(rate.Every(every), burst)
		t.sources[source] = l
	}
	l.AllowN(now, 1)
}

// forget makes room: sources whose failures are long past go first, and if all
// are recent any one goes, which at worst gives it its free failures back.
func (t *Throttle) forget(now time.Time) {
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
