package kqpeer

import "net"

type meteredConn struct {
	net.Conn
	meter Meter
}

// Read implements net.Conn. Its errors stay bare, as readers compare them.
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
