package kqconnection

import "time"

const (
	// lingerFor is how long nothing may come of a connection that closes, and
	// lingerLongest and lingerBytes bound what is taken in of it altogether: a large
	// body over a slow link.
	lingerFor     = 500 * time.Millisecond
	lingerLongest = 10 * time.Second
	lingerBytes   = 64 << 20
	// lingerRoom is what is read at once, in bytes.
	lingerRoom = 16 << 10
	// lingerMost bounds the connections that linger at once: each holds a descriptor.
	lingerMost = 256
)

// linger ends a connection so that its last answer arrives. A caller that was refused
// may still be sending its body, and a request may come as the answer before it closes
// the connection. Closed with bytes unread, the kernel resets the connection, and the
// caller loses the answer that is on its way: it sees a broken pipe, and cannot tell
// that its call did not run. So the answer goes out first, and what still comes is read
// and thrown away.
func (c *connection) linger() error {
	if c.listener.lingering.Add(1) > lingerMost || c.CloseWrite() != nil {
		c.listener.lingering.Add(-1)
		return c.TCPConn.Close()
	}
	c.group.Go(func() {
		defer c.listener.lingering.Add(-1)
		c.takeIn()
		_ = c.TCPConn.Close()
	})
	return nil
}

// takeIn reads until the caller closes, or is silent, or has had its bounds.
func (c *connection) takeIn() {
	room := make([]byte, lingerRoom)
	last := time.Now().Add(lingerLongest)
	for left := lingerBytes; left > 0; {
		until := time.Now().Add(lingerFor)
		if until.After(last) {
			until = last
		}
		if c.SetReadDeadline(until) != nil {
			return
		}
		n, err := c.TCPConn.Read(room)
		if err != nil {
			return
		}
		left -= n
	}
}
