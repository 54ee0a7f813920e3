package kqconnection

import (
	"bytes"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqexchange"
)

const (
	// lingerIdleTimeout is how long a closing connection may receive nothing before it is
	// closed. lingerTimeout and maxLingerBytes limit the time and the bytes in total, which
	// is enough for a large body over a slow link.
	lingerIdleTimeout = 500 * time.Millisecond
	lingerTimeout     = 10 * time.Second
	maxLingerBytes    = 64 << 20
	// lingerBufferSize is the size of the read buffer, in bytes.
	lingerBufferSize = 4 << 10
	// refusalTimeout is how long a client may take to begin the request that is refused since there
	// is no room for its connection.
	refusalTimeout = time.Second
	// defaultMaxLingering limits the connections that linger at once, since each holds a file
	// descriptor.
	defaultMaxLingering = 256
)

// linger closes a connection so that its last response arrives. A refused caller may still
// be sending its body, and another request may arrive while the response closes the
// connection. If bytes were left unread at the close, the kernel would reset the connection
// and the caller would lose the response: it would see a broken pipe and could not tell
// that its call did not run. So the write side is closed first, and further input is read
// and discarded. If too many connections already linger, or the write side cannot be
// closed, the connection is closed at once.
func (c *connection) linger() error {
	if !c.listener.beginLinger() {
		return c.TCPConn.Close()
	}
	if c.CloseWrite() != nil {
		c.listener.endLinger()
		return c.TCPConn.Close()
	}
	c.group.Go(func() {
		defer c.listener.endLinger()
		c.discardInput()
		_ = c.TCPConn.Close()
	})
	return nil
}

// refuse answers the first request of a client that there is no room for, and closes the connection
// so that the response arrives. If too many connections linger, it closes the connection at once.
func (c *connection) refuse() {
	c.listener.onRefused()
	if c.listener.refusal == nil || !c.listener.beginLinger() {
		_ = c.TCPConn.Close()
		return
	}
	c.group.Go(func() {
		defer c.listener.endLinger()
		if head := c.readHead(); len(head) > 0 {
			// After an error the client has left.
			_, _ = c.TCPConn.Write(c.listener.refusal(head))
			_ = c.CloseWrite()
			c.discardInput()
		}
		_ = c.TCPConn.Close()
	})
}

// readHead returns the head of the first request, or what of it arrives within refusalTimeout and has
// room in a buffer for discarding.
func (c *connection) readHead() []byte {
	buffer, length := make([]byte, lingerBufferSize), 0
	err := c.SetDeadline(time.Now().Add(refusalTimeout))
	for err == nil && length < len(buffer) && !bytes.Contains(buffer[:length], headEnd) {
		var n int
		n, err = c.TCPConn.Read(buffer[length:])
		length += n
	}
	_ = c.SetDeadline(time.Time{})
	return buffer[:length]
}

// beginLinger counts a connection that lingers, and reports whether there is room for it.
func (l *Listener) beginLinger() bool {
	if l.lingering.Add(1) <= l.maxLingering && (l.group == nil || l.group.Linger()) {
		return true
	}
	l.lingering.Add(-1)
	return false
}

func (l *Listener) endLinger() {
	l.lingering.Add(-1)
	if l.group != nil {
		l.group.EndLinger()
	}
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
		if c.closedIdle && left == maxLingerBytes {
			c.listener.onUnanswered(kqexchange.Idle, 0)
		}
		left -= n
	}
}
