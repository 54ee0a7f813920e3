package kqfleet

import (
	"net"

	"github.com/kumquatgw/kumquatgw/internal/run/kqnode"
)

type (
	// Tap receives the bytes that nodes read and write on the connections which they accept. The
	// sequence of one connection's direction is kept; connection is unique among all of them. It
	// is called concurrently, and must not keep data.
	Tap func(role kqnode.Role, connection net.Conn, isSent bool, data []byte)

	// tapListener passes the bytes of its connections to a Tap.
	tapListener struct {
		net.Listener
		role kqnode.Role
		tap  Tap
	}

	tapConn struct {
		net.Conn
		role kqnode.Role
		tap  Tap
	}
)

// WithTap sets a function that receives all bytes on the nodes' accepted connections.
func WithTap(tap Tap) Option { return func(f *Fleet) { f.tap = tap } }

// Accept implements net.Listener.
func (l tapListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &tapConn{Conn: c, role: l.role, tap: l.tap}, nil
}

// Read implements net.Conn.
func (c *tapConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.tap(c.role, c, false, b[:max(n, 0)])
	return n, err
}

// Write implements net.Conn.
func (c *tapConn) Write(b []byte) (int, error) {
	c.tap(c.role, c, true, b)
	return c.Conn.Write(b)
}
