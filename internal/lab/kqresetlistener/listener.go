package kqresetlistener

import (
	"net"
	"sync"
	"sync/atomic"
)

type (
	// Listener is a net.Listener whose connections can be reset all at once. It is safe
	// for concurrent use.
	Listener struct {
		net.Listener
		// bytes counts the bytes read and written on all connections.
		bytes *atomic.Int64

		mu     sync.Mutex
		closed bool
		conns  map[*conn]struct{}
	}

	conn struct {
		net.Conn
		listener *Listener
	}
)

// New returns a Listener that wraps l and adds the bytes read and written on its
// connections to bytes.
func New(l net.Listener, bytes *atomic.Int64) *Listener {
	return &Listener{Listener: l, bytes: bytes, conns: make(map[*conn]struct{})}
}

// Accept implements net.Listener. Its errors are not wrapped, since servers compare
// them.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	// An Accept that was in progress during ResetAll gets a connection that is reset,
	// too.
	if l.closed {
		c.reset()
		return c, nil
	}
	l.conns[c] = struct{}{}
	return c, nil
}

// ResetAll closes the listener and resets every connection.
func (l *Listener) ResetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.Close()
	for c := range l.conns {
		c.reset()
	}
}

// NetConn returns the wrapped connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.bytes.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// reset closes the connection and discards unsent data, as when a server is lost.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}
