package kqcall

import (
	"io"
	"sync"
)

// Cancel ends a call whose caller, or whose node, goes away: it wakes the call where it waits,
// and closes the connection that it was sent on, which passes the cancellation
// on. The zero value is ready.
type Cancel struct {
	mu     sync.Mutex
	reason Reason
	wake   chan struct{}
	closer io.Closer
}

// Now cancels the call and has it told why; the first reason stands.
func (c *Cancel) Now(why Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason != NoReason {
		return
	}
	c.reason = why
	if c.wake != nil {
		close(c.wake)
	}
	if c.closer != nil {
		// The exchange that uses the connection meets the error and reports it.
		_ = c.closer.Close()
	}
}

// Done reports whether the call was cancelled. A nil Cancel never is.
func (c *Cancel) Done() bool { return c.Reason() != NoReason }

// Reason returns why the call was cancelled, NoReason if it was not.
func (c *Cancel) Reason() Reason {
	if c == nil {
		return NoReason
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reason
}

// Wake returns a channel that is closed once the call is cancelled; that of a
// nil Cancel blocks for ever.
func (c *Cancel) Wake() <-chan struct{} {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wake == nil {
		c.wake = make(chan struct{})
		if c.reason != NoReason {
			close(c.wake)
		}
	}
	return c.wake
}

// Attach has the connection closed by a cancellation from now on, nil none. It
// reports false if the call was cancelled already.
func (c *Cancel) Attach(connection io.Closer) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closer = connection
	return c.reason == NoReason
}
