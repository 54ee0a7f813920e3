package kqsend

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// refusalDialTimeout bounds each dial of IsRefused. The peer is on this server.
	refusalDialTimeout = 250 * time.Millisecond
	// refusalSettle is how long IsRefused watches a connection that was accepted. A process
	// that ends closes its connections one after the other, its listener perhaps last.
	refusalSettle = 5 * time.Millisecond
)

// IsRefused reports whether the target refuses connections, which a program does that has
// ended. A program that resets connections because it has too many does not count. An
// accepted connection is kept for calls.
func (c *Client) IsRefused() bool {
	for range 2 {
		n, refused := c.dialOnce()
		if n == nil {
			return refused
		}
		time.Sleep(refusalSettle)
		if n.isUsable() {
			c.release(n)
			return false
		}
		c.drop(n)
	}
	return false
}

// dialOnce opens a connection, unless the limit is reached, and reports whether it was
// refused.
func (c *Client) dialOnce() (n *connection, refused bool) {
	if !c.reserve() {
		return nil, false
	}
	dialed, err := net.DialTimeout("tcp", string(c.target), refusalDialTimeout)
	if err != nil {
		c.cancelReservation()
		return nil, errors.Is(err, syscall.ECONNREFUSED)
	}
	return c.newConnection(dialed), false
}
