package kqconnection

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/call/kqhangup"
)

// ErrNoRoom tells that there is no room for a body of unstated length.
var ErrNoRoom = errors.New("no room for the body")

type (
	// Room is shared by the bodies of unstated length; a connection takes more as more
	// of its body comes.
	Room interface {
		Grow(connection any, size int, wait time.Duration) bool
		Release(connection any)
	}

	// Option sets up a Listener.
	Option func(*Listener)

	// Listener accepts connections that are read one request at a time. It is safe for
	// concurrent use.
	Listener struct {
		net.Listener
		room     Room
		patience time.Duration
		// lingering counts connections that are closed but for what still comes.
		lingering atomic.Int64
		// stopping tells that no request is served before its turn any more.
		stopping atomic.Bool
		// early counts the requests that are, or wait with their answers.
		early atomic.Int64

		mu sync.Mutex
		// held are the open connections, and silent those of them on which nothing has
		// come yet.
		held, silent map[*connection]struct{}
	}

	// connection is read by one goroutine at a time.
	connection struct {
		*net.TCPConn
		listener *Listener
		spoke    atomic.Bool
		pace     pace
		// refused tells that there was no room for more of a body whose length its head
		// does not state.
		refused bool
		// ended is what the last read failed with, nil if it did not.
		ended error
		// inOrder tells that requests are served one after the other.
		inOrder bool
		group   conc.WaitGroup

		mu sync.Mutex
		// rest is what has been read of the requests after the one under way, begun how
		// much of it belongs to those in ahead, which are served already, and failure
		// what ended the reading behind it.
		rest    []byte
		begun   int
		ahead   []*early
		failure error
	}
)

// WithRoom has bodies of unstated length take room while they come, and wait for it
// that long; reading then fails with ErrNoRoom.
func WithRoom(r Room, wait time.Duration) Option {
	return func(l *Listener) { l.room, l.patience = r, wait }
}

// New returns a listener over l, whose connections are TCP's; others are passed as
// they are.
func New(l net.Listener, options ...Option) *Listener {
	n := &Listener{Listener: l, held: make(map[*connection]struct{}), silent: make(map[*connection]struct{})}
	for _, o := range options {
		o(n)
	}
	return n
}

// Accept implements net.Listener. The error is bare, as servers compare it.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	tcp, ok := raw.(*net.TCPConn)
	if err != nil || !ok {
		return raw, err
	}
	c := &connection{TCPConn: tcp, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[c], l.silent[c] = struct{}{}, struct{}{}
	return c, nil
}

// Open returns how many connections are open. The library's own count is one too low
// once its listener is closed.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held)
}

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

// release takes a connection out that is closed, with its room, and reports whether it
// was still held.
func (l *Listener) release(c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, held := l.held[c]
	delete(l.held, c)
	if l.room != nil {
		l.room.Release(c)
	}
	return held
}

// Read implements net.Conn: it stops where a request ends.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.read(b)
	if n > 0 && c.pace.unstated && !c.grow() {
		n, err = 0, ErrNoRoom
	}
	c.ended = err
	return n, err
}

func (c *connection) read(b []byte) (int, error) {
	if n, err := c.readRest(b); n > 0 || err != nil {
		return n, err
	}
	n, err := c.TCPConn.Read(b)
	if n == 0 {
		return n, err
	}
	c.listener.forget(c)
	kept := c.pace.cut(b[:n])
	if kept < n {
		c.mu.Lock()
		c.rest = append(c.rest, b[kept:n]...)
		c.mu.Unlock()
	}
	return kept, err
}

// ReadError returns what the last read of a listener's connection failed with, nil if it
// did not. A library that gives up a request says that it is malformed wherever its
// reading ends, and does not always say why it ended. Only the goroutine that reads the
// connection may ask.
func ReadError(conn net.Conn) error {
	if c, ok := conn.(*connection); ok {
		return c.ended
	}
	return nil
}

// readRest reads of what has come already, or returns what ended it.
func (c *connection) readRest(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.rest) == 0 {
		return 0, c.failure
	}
	n := copy(b, c.rest)
	n = c.pace.cut(b[:n])
	if c.rest = c.rest[n:]; len(c.rest) == 0 {
		c.rest = nil
	}
	c.begun = max(c.begun-n, 0)
	return n, nil
}

// grow takes room for more of a body of unstated length. What comes after a refusal is
// only read to be thrown away.
func (c *connection) grow() bool {
	if c.listener.room == nil || c.refused {
		return true
	}
	c.refused = !c.listener.room.Grow(c, c.pace.chunks.body, c.listener.patience)
	return !c.refused
}

// served notes that the request under way has been answered: what comes next is another
// one. What came behind a body of unstated length may have been read with it already.
func (c *connection) served() {
	if !c.pace.unstated {
		return
	}
	if c.listener.room != nil {
		c.listener.room.Release(c)
	}
	c.refused, c.inOrder = false, true
	c.pace.unstated, c.pace.chunks = false, chunks{}
}

// WriteTo implements io.WriterTo in place of TCP's own, which knows of no rest.
func (c *connection) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.listener.forget(c)
	if !c.listener.release(c) {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropAhead()
	if c.failure != nil {
		return c.TCPConn.Close()
	}
	return c.linger()
}

// Pending reports whether bytes of another request have come. Only the goroutine that
// reads the connection may ask.
func (c *connection) Pending() bool {
	c.mu.Lock()
	waits := len(c.rest) > 0
	c.mu.Unlock()
	if waits {
		return true
	}
	_, readable := kqhangup.NewProbe(c.TCPConn).Look()
	return readable
}

func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
