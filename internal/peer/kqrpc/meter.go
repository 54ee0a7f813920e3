package kqrpc

import "net"

// meteredConn counts the bytes of a connection.
type meteredConn struct {
	net.Conn
	meter Meter
}

// Read implements net.Conn. Errors are returned unwrapped, since readers compare
// them by identity.
func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.meter != nil {
		c.meter.Received(n)
	}
	return n, err
}

// Write implements net.Conn.
func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if c.meter != nil {
		c.meter.Sent(n)
	}
	return n, err
}
