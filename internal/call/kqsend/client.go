package kqsend

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/base/kqexhaustion"
	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqdisconnect"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// DefaultIdleTimeout is how long an idle connection is kept. Servers keep theirs for
	// longer, so that the client closes first: a connection that the server closes may
	// already carry a new request.
	DefaultIdleTimeout = 2 * time.Second

	defaultMaxConnections = 512
	dialTimeout           = time.Second
	// nodeDialTimeout bounds connecting to a node: nodes of the same region answer within
	// milliseconds, those of another within 100 ms, and a lost first packet is only sent
	// again after a second.
	nodeDialTimeout = 300 * time.Millisecond
	// shortSilenceTimeout is how long a peer may leave data or a keep-alive probe
	// unacknowledged.
	shortSilenceTimeout = time.Second
	// longSilenceTimeout replaces shortSilenceTimeout for calls that are not idempotent and
	// for streamed responses. It is the longest timeout that a route may set, so the call's
	// deadline comes first.
	longSilenceTimeout = 10 * time.Minute
	// descriptorWait is how long a call waits for a file descriptor, and
	// descriptorRetryInterval the time between two attempts.
	descriptorWait          = 500 * time.Millisecond
	descriptorRetryInterval = 5 * time.Millisecond
	// bufferSize is the size of a connection's read buffer and of its write buffer, in
	// bytes. A response's header must fit into the read buffer.
	bufferSize = 16 << 10
)

var (
	// errConnectionLimit is returned when all connections are in use.
	errConnectionLimit = errors.New("connection limit reached")
	// errNoMemory is returned when there is no memory for another connection.
	errNoMemory = errors.New("no memory left for a connection")
)

type (
	// Memory is what connections reserve their memory from.
	Memory interface {
		// Connect reserves the memory of a connection and reports whether there was enough.
		Connect() bool
		// Disconnect releases the memory of a connection.
		Disconnect()
	}

	// Client sends calls to one address. It is safe for concurrent use.
	Client struct {
		target         kqname.Address
		dialer         func(address string) (net.Conn, error)
		maxOpen        int
		requiresCallID bool
		// memory is nil if connections need not reserve any.
		memory Memory
		// variesSilenceTimeout is set if calls that are not idempotent and streamed
		// responses have a longer silence timeout.
		variesSilenceTimeout bool
		// announcedBody is the least size in bytes of the bodies that are announced before
		// they are sent, 0 for none.
		announcedBody int
		// matches reports whether the response belongs to the call; if nil, call ids are
		// compared.
		matches     func(*kqcall.Call) bool
		idleTimeout time.Duration

		mu   sync.Mutex
		idle []*connection
		open int
	}

	// Option configures a Client.
	Option func(*Client)

	connection struct {
		net.Conn
		reader *bufio.Reader
		writer *bufio.Writer
		probe  *kqdisconnect.Probe
		// written is the number of bytes written for the current call.
		written int
		// maxIdle is how long the connection may stay idle: by the peer's last
		// Keep-Alive header, at most the client's own timeout.
		maxIdle      time.Duration
		idleDeadline time.Time
		// longSilenceTimeout is set if the constant of that name applies to the connection.
		longSilenceTimeout bool
	}
)

// WithDialer replaces the plain TCP dialer; nil keeps it. dial must complete any handshake,
// so that a call whose dial fails has certainly not run.
func WithDialer(dial func(address string) (net.Conn, error)) Option {
	return func(c *Client) {
		if dial != nil {
			c.dialer = dial
		}
	}
}

// WithMaxConnections limits the number of open connections.
func WithMaxConnections(n int) Option { return func(c *Client) { c.maxOpen = n } }

// WithMemory makes connections reserve their memory from m.
func WithMemory(m Memory) Option { return func(c *Client) { c.memory = m } }

// WithRequiredCallID rejects responses without the call's id. Nodes always send it.
func WithRequiredCallID() Option { return func(c *Client) { c.requiresCallID = true } }

// WithSilenceTimeout gives up a peer that is silent for shortSilenceTimeout, but lets calls
// that are not idempotent, and streamed responses, wait until the call's deadline. It is
// meant for connections between nodes of one fleet. A stopped process or a suspended server
// often resumes within seconds and answers; if a call that is not idempotent were given up,
// its caller could not tell whether it ran and could not safely make it again.
func WithSilenceTimeout() Option { return func(c *Client) { c.variesSilenceTimeout = true } }

// WithAnnouncedBodies announces each body of at least the given size in bytes, and sends it once
// the peer asks for it. A body that the peer declines has not been sent, and its call has not
// run.
func WithAnnouncedBodies(least int) Option { return func(c *Client) { c.announcedBody = least } }

// WithResponseMatcher sets the function that reports whether a response belongs to the
// call that was sent, for peers that do not use this mesh's headers.
func WithResponseMatcher(f func(*kqcall.Call) bool) Option { return func(c *Client) { c.matches = f } }

// WithIdleTimeout sets how long an idle connection is kept, in place of
// DefaultIdleTimeout.
func WithIdleTimeout(d time.Duration) Option { return func(c *Client) { c.idleTimeout = d } }

// New returns a client that sends to the target.
func New(target kqname.Address, options ...Option) *Client {
	c := &Client{target: target, maxOpen: defaultMaxConnections, dialer: dialPlain, idleTimeout: DefaultIdleTimeout}
	for _, o := range options {
		o(c)
	}
	return c
}

// SetMaxConnections limits the number of open connections from now on. Those beyond a lower
// limit stay open until they are closed otherwise.
func (c *Client) SetMaxConnections(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxOpen = n
}

// Close closes all idle connections. Those in use are not affected.
func (c *Client) Close() { c.closeIdle(func(*connection) bool { return true }) }

// Sweep closes the connections whose idle timeout has passed and returns how many
// connections are still open, whether idle or in use.
func (c *Client) Sweep(now time.Time) int {
	return c.closeIdle(func(n *connection) bool { return !now.Before(n.idleDeadline) })
}

func (c *Client) closeIdle(expired func(*connection) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[:0]
	for _, n := range c.idle {
		if !expired(n) {
			kept = append(kept, n)
			continue
		}
		c.close(n)
		c.open--
	}
	clear(c.idle[len(kept):])
	c.idle = kept
	return c.open
}

// acquire returns the most recently used idle connection that is still usable, or a new
// one. It closes the unusable ones that it finds on the way. A probe gets a new one, which shows
// that its peer is alive.
func (c *Client) acquire(call *kqcall.Call) (*connection, error) {
	if call.Probing && c.reserve() {
		return c.dial(call)
	}
	for {
		n, err := c.takeIdle()
		if err != nil {
			return nil, err
		}
		if n == nil {
			return c.dial(call)
		}
		if time.Now().Before(n.idleDeadline) && n.isUsable() {
			n.written = 0
			return n, nil
		}
		c.drop(n)
	}
}

// takeIdle returns an idle connection, or nil after counting a new one as open.
func (c *Client) takeIdle() (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last := len(c.idle) - 1; last >= 0 {
		n := c.idle[last]
		c.idle[last] = nil
		c.idle = c.idle[:last]
		return n, nil
	}
	if c.open >= c.maxOpen {
		return nil, fmt.Errorf("connect to %s: %d connections open: %w", c.target, c.open, errConnectionLimit)
	}
	c.open++
	return nil, nil
}

// reserve counts a new connection as open, unless the limit is reached.
func (c *Client) reserve() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open >= c.maxOpen {
		return false
	}
	c.open++
	return true
}

// cancelReservation takes back the count of a connection that was not opened.
func (c *Client) cancelReservation() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

func (c *Client) dial(call *kqcall.Call) (*connection, error) {
	if c.memory != nil && !c.memory.Connect() {
		c.cancelReservation()
		return nil, fmt.Errorf("connect to %s: %w", c.target, errNoMemory)
	}
	dialed, err := c.connect(call)
	if err != nil {
		if c.memory != nil {
			c.memory.Disconnect()
		}
		c.cancelReservation()
		return nil, fmt.Errorf("connect to %s: %w", c.target, err)
	}
	return c.newConnection(dialed), nil
}

// close closes a connection and releases its memory.
func (c *Client) close(n *connection) {
	_ = n.Close()
	if c.memory != nil {
		c.memory.Disconnect()
	}
}

func (c *Client) newConnection(dialed net.Conn) *connection {
	n := &connection{Conn: dialed, maxIdle: c.idleTimeout}
	if c.variesSilenceTimeout {
		kqdisconnect.SetUserTimeout(dialed, shortSilenceTimeout)
	}
	n.probe = kqdisconnect.NewProbe(dialed)
	n.reader = bufio.NewReaderSize(n.Conn, bufferSize)
	n.writer = bufio.NewWriterSize(n, bufferSize)
	return n
}

// connect dials the target and retries for up to descriptorWait if the process is out of
// file descriptors or the system out of memory for connections. When many callers
// disconnect at once, connections waiting at the entry take each descriptor that is freed;
// without the wait, a call accepted among them would be refused although its upstream is
// well, because no descriptor is left to connect to it.
func (c *Client) connect(call *kqcall.Call) (net.Conn, error) {
	retryUntil := earlier(call.Deadline, time.Now().Add(descriptorWait))
	for {
		dialed, err := c.dialer(string(c.target))
		if err == nil || !kqexhaustion.Is(err) || call.Cancel.Done() || !time.Now().Before(retryUntil) {
			return dialed, err
		}
		time.Sleep(descriptorRetryInterval)
	}
}

func dialPlain(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, dialTimeout) }

// DialNode connects to a node of the same fleet over plain TCP. A server without power does
// not refuse connections but stays silent, so connecting times out soon enough for the call
// to be served by another node. Keep-alive probes find a node that falls silent later.
func DialNode(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: nodeDialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: shortSilenceTimeout, Interval: shortSilenceTimeout, Count: 1}}
	return dialer.Dial("tcp", address)
}

// setSilenceTimeout sets how long the peer may leave data unacknowledged: long selects
// longSilenceTimeout, else it is shortSilenceTimeout.
func (n *connection) setSilenceTimeout(long bool) {
	if n.longSilenceTimeout == long {
		return
	}
	n.longSilenceTimeout = long
	bound := shortSilenceTimeout
	if long {
		bound = longSilenceTimeout
	}
	kqdisconnect.SetUserTimeout(n.Conn, bound)
}

func (c *Client) release(n *connection) {
	n.idleDeadline = time.Now().Add(n.maxIdle)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, n)
}

func (c *Client) drop(n *connection) {
	c.close(n)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

// Write implements net.Conn and counts the bytes written.
func (n *connection) Write(data []byte) (int, error) {
	count, err := n.Conn.Write(data)
	n.written += count
	return count, err
}
