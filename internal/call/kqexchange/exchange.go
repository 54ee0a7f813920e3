package kqexchange

import (
	"sync/atomic"
	"time"
)

const (
	// Idle is the phase of a connection without a request.
	Idle Phase = iota
	// Receiving is the phase of a request that is being read, or waits for its handler.
	Receiving
	// Serving is the phase of a request whose handler runs.
	Serving
	// Responding is the phase of a request whose handler has returned and whose response may not
	// have been written whole.
	Responding
)

type (
	// Phase is what a connection is doing.
	Phase int32

	// Exchange is the current request of a connection. Its zero value is that of a connection
	// without a request. One goroutine changes it; it may be read concurrently.
	Exchange struct {
		phase atomic.Int32
		// begun is when the request's first byte was read, in Unix nanoseconds.
		begun atomic.Int64
		// responded is set once a part of the response has been written.
		responded atomic.Bool
	}

	// Count is the number of connections with a request, by phase.
	Count struct {
		Receiving, Serving, Responding int
		// Oldest is the time since the first byte of the request that has been in progress for
		// longest.
		Oldest time.Duration
	}
)

// Receive records that bytes of a request have been read.
func (e *Exchange) Receive(now time.Time) {
	if e.Phase() == Idle {
		e.begun.Store(now.UnixNano())
		e.responded.Store(false)
		e.phase.Store(int32(Receiving))
	}
}

// Serve records that the request's handler begins.
func (e *Exchange) Serve() { e.phase.Store(int32(Serving)) }

// Handled records that the request's handler has returned.
func (e *Exchange) Handled() { e.phase.Store(int32(Responding)) }

// Send records that a part of the response has been written.
func (e *Exchange) Send() { e.responded.Store(true) }

// Await records that the server reads the connection again. It does so after it has written the
// response, also one of a request that has reached no handler, or to read the rest of the request.
func (e *Exchange) Await() {
	switch p := e.Phase(); {
	case p == Responding, p == Receiving && e.responded.Load():
		e.phase.Store(int32(Idle))
	}
}

// Phase returns what the connection is doing.
func (e *Exchange) Phase() Phase { return Phase(e.phase.Load()) }

// IsUnanswered reports whether there is a request of whose response nothing has been written.
func (e *Exchange) IsUnanswered() bool { return e.Phase() != Idle && !e.responded.Load() }

// Age returns the time since the request's first byte was read.
func (e *Exchange) Age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, e.begun.Load()))
}

// Add counts a connection.
func (c *Count) Add(e *Exchange, now time.Time) {
	switch e.Phase() {
	case Receiving:
		c.Receiving++
	case Serving:
		c.Serving++
	case Responding:
		c.Responding++
	default:
		return
	}
	c.Oldest = max(c.Oldest, e.Age(now))
}

// Total returns the number of connections with a request.
func (c Count) Total() int { return c.Receiving + c.Serving + c.Responding }

// String returns the phase's name in logs and metrics.
func (p Phase) String() string {
	switch p {
	case Receiving:
		return "receiving"
	case Serving:
		return "serving"
	case Responding:
		return "responding"
	default:
		return "idle"
	}
}
