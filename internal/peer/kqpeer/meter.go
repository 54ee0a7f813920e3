package kqpeer

import (
	"fmt"
	"net"
)

type (
	meteredListener struct {
		net.Listener
		meter Meter
	}

	meteredConn struct {
		net.Conn
		meter Meter
	}
)

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept peer: %w", err)
	}
	return meteredConn{Conn: conn, meter: l.meter}, nil
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
