package kqcall

import (
	"io"
	"sync"
)

// Cancel cancels a call when its caller disconnects or its node stops. It wakes a call that
// is waiting, and closes the connection that the call was sent on, by which the next node
// or the upstream learns of the cancellation. The zero value is ready to use. It is safe
// for concurrent use.
type Cancel struct {
	mu     sync.Mutex
	reason Reason
	wake   chan struct{}
	closer io.Closer
}

// Trigger cancels the call for the given reason. A call that is already cancelled keeps its
// first reason.
func (c *Cancel) Trigger(why Reason) {
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
		// The exchange on the connection fails and reports the error.
		_ = c.closer.Close()
	}
}

// Done reports whether the call was cancelled. A nil Cancel is never cancelled.
func (c *Cancel) Done() bool { return c.Reason() != NoReason }

// Reason returns why the call was cancelled, or NoReason if it was not.
func (c *Cancel) Reason() Reason {
	if c == nil {
		return NoReason
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reason
}

// Signal returns a channel that is closed once the call is cancelled. For a nil Cancel the
// channel is nil and blocks forever.
func (c *Cancel) Signal() <-chan struct{} {
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

// SetConnection sets the connection that a cancellation closes; nil means none. It reports
// false if the call was already cancelled; the connection is then left open.
func (c *Cancel) SetConnection(connection io.Closer) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closer = connection
	return c.reason == NoReason
}
