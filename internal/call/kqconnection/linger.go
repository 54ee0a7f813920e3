package kqconnection

import (
	"io"
	"time"
)

const (
	// lingerFor and lingerBytes bound what is taken in of a connection that closes.
	lingerFor   = 500 * time.Millisecond
	lingerBytes = 1 << 20
	// lingerMost bounds the connections that linger at once: each holds a descriptor.
	lingerMost = 256
)

// linger ends a connection so that its last answer arrives. A request that comes as the
// answer before it closes the connection is not read; closed with its bytes unread, the
// kernel resets the connection, and the caller loses the answer that is on its way.
func (c *connection) linger() error {
	if c.listener.lingering.Add(1) > lingerMost || c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerFor)) != nil {
		c.listener.lingering.Add(-1)
		return c.TCPConn.Close()
	}
	c.group.Go(func() {
		defer c.listener.lingering.Add(-1)
		_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
		_ = c.TCPConn.Close()
	})
	return nil
}
