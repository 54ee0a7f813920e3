package kqconnection

import "time"

const (
	// lingerIdleTimeout is how long a closing connection may receive nothing before it is
	// closed. lingerTimeout and maxLingerBytes limit the time and the bytes in total, which
	// is enough for a large body over a slow link.
	lingerIdleTimeout = 500 * time.Millisecond
	lingerTimeout     = 10 * time.Second
	maxLingerBytes    = 64 << 20
	// lingerBufferSize is the size of the read buffer, in bytes.
	lingerBufferSize = 16 << 10
	// maxLingering limits the connections that linger at once, since each holds a file
	// descriptor.
	maxLingering = 256
)

// linger closes a connection so that its last response arrives. A refused caller may still
// be sending its body, and another request may arrive while the response closes the
// connection. If bytes were left unread at the close, the kernel would reset the connection
// and the caller would lose the response: it would see a broken pipe and could not tell
// that its call did not run. So the write side is closed first, and further input is read
// and discarded. If maxLingering connections already linger, or the write side cannot be
// closed, the connection is closed at once.
func (c *connection) linger() error {
	if c.listener.lingering.Add(1) > maxLingering || c.CloseWrite() != nil {
		c.listener.lingering.Add(-1)
		return c.TCPConn.Close()
	}
	c.group.Go(func() {
		defer c.listener.lingering.Add(-1)
		c.discardInput()
		_ = c.TCPConn.Close()
	})
	return nil
}

// discardInput reads until the caller closes the connection, sends nothing for
// lingerIdleTimeout, or reaches lingerTimeout or maxLingerBytes.
func (c *connection) discardInput() {
	buffer := make([]byte, lingerBufferSize)
	deadline := time.Now().Add(lingerTimeout)
	for left := maxLingerBytes; left > 0; {
		readDeadline := time.Now().Add(lingerIdleTimeout)
		if readDeadline.After(deadline) {
			readDeadline = deadline
		}
		if c.SetReadDeadline(readDeadline) != nil {
			return
		}
		n, err := c.TCPConn.Read(buffer)
		if err != nil {
			return
		}
		left -= n
	}
}
