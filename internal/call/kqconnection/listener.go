package kqconnection

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/kumquatgw/kumquatgw/internal/call/kqhangup"
)

type (
	// Listener accepts connections that are read one request at a time. It is safe for
	// concurrent use.
	Listener struct {
		net.Listener
		open   atomic.Int64
		mu     sync.Mutex
		silent map[*connection]struct{}
	}

	// connection is read by one goroutine at a time.
	connection struct {
		*net.TCPConn
		listener *Listener
		spoke    atomic.Bool
		closed   atomic.Bool
		pace     pace
		// rest is what has been read of the requests after the one under way.
		rest []byte
	}
)

// New returns a listener over l, whose connections are TCP's; others are passed as
// they are.
func New(l net.Listener) *Listener {
	return &Listener{Listener: l, silent: make(map[*connection]struct{})}
}

// Accept implements net.Listener. The error is bare, as servers compare it.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	tcp, ok := raw.(*net.TCPConn)
	if err != nil || !ok {
		return raw, err
	}
	c := &connection{TCPConn: tcp, listener: l}
	l.open.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent[c] = struct{}{}
	return c, nil
}

// Open returns how many connections are open. The library's own count is one too low
// once its listener is closed.
func (l *Listener) Open() int { return int(l.open.Load()) }

// CloseSilent closes the connections on which nothing has come yet. The library holds
// them to be at work, and waits for them at a shutdown. A call that has come and lies
// unread keeps its connection.
func (l *Listener) CloseSilent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.silent {
		if _, readable := kqhangup.NewProbe(c.TCPConn).Look(); readable {
			continue
		}
		_ = c.TCPConn.Close()
		delete(l.silent, c)
	}
}

func (l *Listener) forget(c *connection) {
	if c.spoke.Swap(true) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.silent, c)
}

// Read implements net.Conn: it stops where a request ends.
func (c *connection) Read(b []byte) (int, error) {
	if len(c.rest) > 0 {
		n := copy(b, c.rest)
		n = c.pace.cut(b[:n])
		if c.rest = c.rest[n:]; len(c.rest) == 0 {
			c.rest = nil
		}
		return n, nil
	}
	n, err := c.TCPConn.Read(b)
	if n == 0 {
		return n, err
	}
	c.listener.forget(c)
	kept := c.pace.cut(b[:n])
	if kept < n {
		c.rest = append(c.rest, b[kept:n]...)
	}
	return kept, err
}

// WriteTo implements io.WriterTo in place of TCP's own, which knows of no rest.
func (c *connection) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.listener.forget(c)
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
	}
	return c.TCPConn.Close()
}

// Pending reports whether bytes of another request have come. Only the goroutine that
// reads the connection may ask.
func (c *connection) Pending() bool {
	if len(c.rest) > 0 {
		return true
	}
	_, readable := kqhangup.NewProbe(c.TCPConn).Look()
	return readable
}
