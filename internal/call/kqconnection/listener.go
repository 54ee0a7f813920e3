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

	"github.com/kumquatgw/kumquatgw/internal/base/kqmemory"
	"github.com/kumquatgw/kumquatgw/internal/call/kqdisconnect"
	"github.com/kumquatgw/kumquatgw/internal/call/kqexchange"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqreclaim"
)

type (
	// Pacer spaces out large responses.
	Pacer interface {
		Count(bytes int, now time.Time)
		Reserve(bytes int, now time.Time) time.Duration
	}

	// Option configures a Listener.
	Option func(*Listener)

	// Listener accepts connections whose reads stop at the end of the current request,
	// unless its body is of unknown length. It is safe for concurrent use.
	Listener struct {
		net.Listener
		// group is nil if connections and memory are not limited.
		group *kqmemory.Group
		// onRefused is called for each connection that there is no room for, and refusal returns the
		// response to the first request on it; if it is nil, the connection is closed at once.
		onRefused    func()
		refusal      func(head []byte) []byte
		maxLingering int64
		// pacer is nil if responses are not spaced out.
		pacer Pacer
		// onUnanswered is called for each connection that is closed with an unanswered request
		// although its client has not left.
		onUnanswered func(p kqexchange.Phase, age time.Duration)
		// lingering counts closed connections whose remaining input is still being
		// discarded.
		lingering atomic.Int64
		// pipeliningDisabled is set once no more requests are served before earlier ones
		// have been answered.
		pipeliningDisabled atomic.Bool
		// pipelined is the number of requests that have been started before earlier ones
		// were answered, and have not become the current request or been discarded since.
		pipelined atomic.Int64

		mu sync.Mutex
		// open holds all open connections, and unused those from which nothing has been
		// read yet.
		open, unused map[*connection]struct{}
	}

	// connection must be read by one goroutine at a time.
	connection struct {
		*net.TCPConn
		listener *Listener
		// client is nil if memory is not limited. heads is the memory of the largest head so far,
		// which the server keeps for the next one, and ahead that of buffered.
		client       *kqmemory.Client
		heads, ahead *kqmemory.Reservation
		used         atomic.Bool
		reader       readerState
		exchange     kqexchange.Exchange
		// closedIdle is set if the connection was closed without a request.
		closedIdle bool
		framer     framer
		// lastReadErr is the error of the last read, or nil.
		lastReadErr error
		// written is the number of bytes written since the last read.
		written atomic.Int64
		// sequential is set if requests are served one after the other.
		sequential bool
		// group runs the goroutines that serve pipelined requests and that linger.
		group conc.WaitGroup

		mu sync.Mutex
		// buffered holds the bytes read behind the current request. Its first startedBytes
		// belong to the requests in started, which have been started before earlier ones
		// were answered. readErr is the error that ended the reading.
		buffered     []byte
		startedBytes int
		started      []*pipelined
		readErr      error
	}
)

// WithMaxLingering limits the connections that linger at once.
func WithMaxLingering(n int) Option { return func(l *Listener) { l.maxLingering = int64(n) } }

// WithPacer spaces out large responses by p.
func WithPacer(p Pacer) Option { return func(l *Listener) { l.pacer = p } }

// WithUnanswered sets the function that is called for each connection that is closed before
// anything of its request's response was written, unless its client has left. It gets what the
// connection was doing and the time since the request's first byte.
func WithUnanswered(f func(p kqexchange.Phase, age time.Duration)) Option {
	return func(l *Listener) { l.onUnanswered = f }
}

// New returns a listener over l. Only TCP connections are split into requests; others are
// passed through.
func New(l net.Listener, options ...Option) *Listener {
	n := &Listener{Listener: l, maxLingering: defaultMaxLingering, onUnanswered: func(kqexchange.Phase, time.Duration) {}, open: make(map[*connection]struct{}), unused: make(map[*connection]struct{})}
	for _, o := range options {
		o(n)
	}
	return n
}

// Accept implements net.Listener. It refuses connections that there is no room for. It does not wrap
// the error, because servers compare it.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		tcp, ok := raw.(*net.TCPConn)
		if err != nil || !ok {
			return raw, err
		}
		c := &connection{TCPConn: tcp, listener: l}
		if !c.admit(time.Now()) {
			c.refuse()
			continue
		}
		l.mu.Lock()
		l.open[c], l.unused[c] = struct{}{}, struct{}{}
		l.mu.Unlock()
		return c, nil
	}
}

// OpenCount returns the number of open connections. fasthttp's own count is one too low
// once its listener is closed.
func (l *Listener) OpenCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Exchanges counts the open connections with a request that has not been answered whole.
func (l *Listener) Exchanges(now time.Time) kqexchange.Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	var count kqexchange.Count
	for c := range l.open {
		count.Add(&c.exchange, now)
	}
	return count
}

// CloseUnused closes the connections on which nothing has arrived yet. fasthttp counts them
// as active and waits for them at a shutdown. A connection whose call has arrived but has
// not been read stays open.
func (l *Listener) CloseUnused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.unused {
		if _, readable := kqdisconnect.NewProbe(c.TCPConn).Peek(); readable {
			continue
		}
		_ = c.TCPConn.Close()
		delete(l.unused, c)
	}
}

func (l *Listener) markUsed(c *connection) {
	if c.used.Swap(true) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.unused, c)
}

// release removes a connection that is being closed, and reports whether it was still open.
func (l *Listener) release(c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, open := l.open[c]
	delete(l.open, c)
	return open
}

// Read implements net.Conn. It returns no bytes beyond the end of the current request,
// unless its body is of unknown length.
func (c *connection) Read(b []byte) (int, error) {
	if !c.reader.begin() {
		return 0, net.ErrClosed
	}
	defer c.reader.end()
	var n int
	err := ErrReclaimed
	c.exchange.Await()
	if c.client.State() != kqreclaim.Reclaimed {
		c.client.Await(time.Now())
		n, err = c.read(b)
	}
	switch {
	case n > 0 && !c.client.Receive(n, time.Now()), err != nil && c.client.State() == kqreclaim.Reclaimed:
		n, err = 0, ErrReclaimed
	case n > 0 && !c.reserveHead():
		n, err = 0, ErrNoMemory
	}
	c.lastReadErr = err
	return n, err
}

// read reads, and records that bytes of a request have arrived.
func (c *connection) read(b []byte) (int, error) {
	n, err := c.readRequest(b)
	if n > 0 {
		c.exchange.Receive(time.Now())
	}
	return n, err
}

func (c *connection) readRequest(b []byte) (int, error) {
	if n, err := c.readBuffered(b); n > 0 || err != nil {
		return n, err
	}
	n, err := c.TCPConn.Read(b)
	if n == 0 {
		return n, err
	}
	c.written.Store(0)
	c.listener.markUsed(c)
	current := c.framer.consume(b[:n])
	if current < n && !c.buffer(b[current:n]) {
		return 0, ErrNoMemory
	}
	return current, err
}

// ReadError returns the error of the last read of a Listener's connection, or nil. fasthttp
// reports any request whose reading ends early as malformed and does not always give the
// cause. It must be called by the goroutine that reads the connection.
func ReadError(conn net.Conn) error {
	if c, ok := conn.(*connection); ok {
		return c.lastReadErr
	}
	return nil
}

// readBuffered reads bytes that have already arrived, or returns the error that ended the
// reading.
func (c *connection) readBuffered(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.buffered) == 0 {
		return 0, c.readErr
	}
	n := copy(b, c.buffered)
	n = c.framer.consume(b[:n])
	if c.buffered = c.buffered[n:]; len(c.buffered) == 0 {
		c.buffered = nil
		c.ahead.Release(kqmemory.Calls, c.ahead.Held(kqmemory.Calls))
	}
	c.startedBytes = max(c.startedBytes-n, 0)
	return n, nil
}

// endRequest resets the framing after a request with a body of unknown length has been
// answered. Bytes of pipelined requests may have been read as part of that body, so further
// requests are served sequentially. It also resets the size of the head, whose end is not found if
// its lines end without carriage returns.
func (c *connection) endRequest() {
	c.framer.head = headSize{}
	if !c.framer.unknownLength {
		return
	}
	c.sequential = true
	c.framer.unknownLength, c.framer.chunkScanner = false, chunkScanner{}
}

// WriteTo implements io.WriterTo in place of TCPConn's method, which would skip the
// buffered bytes.
func (c *connection) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// Close implements net.Conn. It closes the connection at once if reading ahead has failed;
// any other connection lingers. While another goroutine reads the connection, Close only
// interrupts the reading; the server then closes it, or serves the request that has been read.
func (c *connection) Close() error {
	if !c.reader.close() {
		return c.SetReadDeadline(time.Unix(0, 1))
	}
	c.listener.markUsed(c)
	if !c.listener.release(c) {
		return nil
	}
	c.reportUnanswered(time.Now())
	c.client.Close()
	// Nothing more is reserved from now on, and there is nothing to report.
	_, _ = c.heads.Close(), c.ahead.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discardPipelined()
	if c.readErr != nil {
		return c.TCPConn.Close()
	}
	return c.linger()
}

// reportUnanswered reports a request without a response, unless its client has left. Bytes that
// have not been read count as a request in the phase kqexchange.Idle.
func (c *connection) reportUnanswered(now time.Time) {
	closed, readable := kqdisconnect.NewProbe(c.TCPConn).Peek()
	switch phase := c.exchange.Phase(); {
	case closed:
	case c.exchange.IsUnanswered():
		c.listener.onUnanswered(phase, c.exchange.Age(now))
	case readable && phase == kqexchange.Idle:
		c.listener.onUnanswered(phase, 0)
	default:
		c.closedIdle = phase == kqexchange.Idle
	}
}

// Pending reports whether bytes behind the current request have arrived. It must be called
// by the goroutine that reads the connection.
func (c *connection) Pending() bool {
	c.mu.Lock()
	pending := len(c.buffered) > 0
	c.mu.Unlock()
	if pending {
		return true
	}
	_, readable := kqdisconnect.NewProbe(c.TCPConn).Peek()
	return readable
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
