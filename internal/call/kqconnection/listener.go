package kqconnection

import (
	"io"
	"net"

	"github.com/kumquatgw/kumquatgw/internal/call/kqhangup"
)

type (
	// Listener accepts connections that are read one request at a time. It is safe for
	// concurrent use.
	Listener struct {
		net.Listener
	}

	// connection is read by one goroutine at a time.
	connection struct {
		*net.TCPConn
		pace pace
		// rest is what has been read of the requests after the one under way.
		rest []byte
	}
)

// New returns a listener over l, whose connections are TCP's; others are passed as
// they are.
func New(l net.Listener) *Listener {
	return &Listener{Listener: l}
}

// Accept implements net.Listener. The error is bare, as servers compare it.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	tcp, ok := raw.(*net.TCPConn)
	if err != nil || !ok {
		return raw, err
	}
	return &connection{TCPConn: tcp}, nil
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

// Pending reports whether bytes of another request have come. Only the goroutine that
// reads the connection may ask.
func (c *connection) Pending() bool {
	if len(c.rest) > 0 {
		return true
	}
	_, readable := kqhangup.NewProbe(c.TCPConn).Look()
	return readable
}
