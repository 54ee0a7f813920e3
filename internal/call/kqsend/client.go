package kqsend

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/base/kqshortage"
	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqhangup"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// IdleFor is how long a connection is kept without a call. Servers keep
	// theirs for longer, so that the client is the one to close: one that the
	// server closes may have a call on its way already.
	IdleFor = 2 * time.Second

	defaultMost = 512
	dialTimeout = time.Second
	// nearTimeout is how long a connection to a node may take: nodes of one region
	// answer in milliseconds, those of another in a tenth of a second, and a first
	// packet that is lost is sent again only after a second. nearSilence is how
	// long a peer may leave bytes, or the question whether it lives, unacknowledged.
	nearTimeout = 300 * time.Millisecond
	nearSilence = time.Second
	// longSilence takes nearSilence's place for a call that may not be repeated, and is
	// the longest time that a route may allow: the call's deadline comes first.
	longSilence = 10 * time.Minute
	// shortageFor is how long a call waits for a descriptor, and shortagePause for how
	// long between two tries.
	shortageFor   = 500 * time.Millisecond
	shortagePause = 5 * time.Millisecond
	// bufferSize bounds a response's head, in bytes.
	bufferSize = 16 << 10
)

// errFull tells that all connections are in use.
var errFull = errors.New("no free connection")

type (
	// Client sends calls to one address. It is safe for concurrent use.
	Client struct {
		to     kqname.Address
		dialer func(address string) (net.Conn, error)
		most   int
		echoes bool
		// waitsLonger tells that the silence timeout is longer for calls which may not be
		// repeated.
		waitsLonger bool
		// belongs tells whether a response answers the call; nil compares ids.
		belongs func(*kqcall.Call) bool
		idleFor time.Duration

		mu   sync.Mutex
		idle []*connection
		open int
	}

	// Option sets up a Client.
	Option func(*Client)

	connection struct {
		net.Conn
		reader  *bufio.Reader
		writer  *bufio.Writer
		probe   *kqhangup.Probe
		written int
		// kept is how long the connection may be kept without a call: what its peer
		// said last, or else the client's own.
		kept  time.Duration
		until time.Time
		// longSilence tells that the connection has the longer silence timeout.
		longSilence bool
	}
)

// WithDialer replaces plain TCP; nil does not. It must have finished its
// handshake, so that its failure is certain not to have run a call.
func WithDialer(dial func(address string) (net.Conn, error)) Option {
	return func(c *Client) {
		if dial != nil {
			c.dialer = dial
		}
	}
}

// WithMost bounds the connections that are open at once.
func WithMost(n int) Option { return func(s *Client) { s.most = n } }

// WithEcho demands that each response carries its call's id, as nodes' do.
func WithEcho() Option { return func(c *Client) { c.echoes = true } }

// WithSilenceTimeout gives a silent peer up after nearSilence, as fits nodes of one fleet, but
// lets calls that may not be repeated wait for it until their deadline. A process that
// was stopped, or a server that was suspended, often goes on within seconds and answers;
// given up before, the call cannot go elsewhere, and its caller cannot tell whether it
// ran.
func WithSilenceTimeout() Option { return func(c *Client) { c.waitsLonger = true } }

// WithMatch has f tell whether a response answers the call that was sent, for
// peers that do not speak our headers.
func WithMatch(f func(*kqcall.Call) bool) Option { return func(c *Client) { c.belongs = f } }

// WithIdle keeps connections for that long without a call, in place of IdleFor.
func WithIdle(d time.Duration) Option { return func(c *Client) { c.idleFor = d } }

// New returns a client that sends to an address.
func New(to kqname.Address, options ...Option) *Client {
	c := &Client{to: to, most: defaultMost, dialer: plain, idleFor: IdleFor}
	for _, o := range options {
		o(c)
	}
	return c
}

// Close ends the connections that no call uses; those in use end with their
// call.
func (c *Client) Close() { c.sweep(func(*connection) bool { return true }) }

// Sweep ends the connections that no call has used for a while, and reports how
// many are left.
func (c *Client) Sweep(now time.Time) int {
	return c.sweep(func(n *connection) bool { return !now.Before(n.until) })
}

func (c *Client) sweep(over func(*connection) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[:0]
	for _, n := range c.idle {
		if !over(n) {
			kept = append(kept, n)
			continue
		}
		_ = n.Close()
		c.open--
	}
	clear(c.idle[len(kept):])
	c.idle = kept
	return c.open
}

// acquire returns an idle connection that its peer has not closed, the one used
// last first, or else a new one.
func (c *Client) acquire(call *kqcall.Call) (*connection, error) {
	for {
		n, err := c.take()
		if err != nil {
			return nil, err
		}
		if n == nil {
			return c.dial(call)
		}
		if time.Now().Before(n.until) && n.alive() {
			n.written = 0
			return n, nil
		}
		c.drop(n)
	}
}

// take returns an idle connection, or nil with leave to open one.
func (c *Client) take() (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last := len(c.idle) - 1; last >= 0 {
		n := c.idle[last]
		c.idle[last] = nil
		c.idle = c.idle[:last]
		return n, nil
	}
	if c.open >= c.most {
		return nil, fmt.Errorf("connect to %s, %d are open: %w", c.to, c.open, errFull)
	}
	c.open++
	return nil, nil
}

func (c *Client) dial(call *kqcall.Call) (*connection, error) {
	dialed, err := c.connect(call)
	if err != nil {
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
		return nil, fmt.Errorf("connect to %s: %w", c.to, err)
	}
	n := &connection{Conn: dialed, kept: c.idleFor}
	if c.waitsLonger {
		kqhangup.Bound(dialed, nearSilence)
	}
	n.probe = kqhangup.NewProbe(dialed)
	n.reader = bufio.NewReaderSize(n.Conn, bufferSize)
	n.writer = bufio.NewWriterSize(n, bufferSize)
	return n, nil
}

// connect makes a connection for the call, and waits a while for a descriptor where the
// process has none left. As callers who held them all go, the connections that queue at
// the entry take each one that becomes free; a call accepted among them would be refused
// for want of the one descriptor that leads to its upstream, although both are well.
func (c *Client) connect(call *kqcall.Call) (net.Conn, error) {
	last := earlier(call.Deadline, time.Now().Add(shortageFor))
	for {
		dialed, err := c.dialer(string(c.to))
		if err == nil || !kqshortage.Is(err) || call.Cancel.Done() || !time.Now().Before(last) {
			return dialed, err
		}
		time.Sleep(shortagePause)
	}
}

func plain(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, dialTimeout) }

// DialNode connects to a node of the same fleet over plain TCP. A server without
// power does not refuse, it is silent: the call that waits for it could long be
// served by another.
func DialNode(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: nearTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: nearSilence, Interval: nearSilence, Count: 1}}
	return dialer.Dial("tcp", address)
}

// setSilenceTimeout sets for how long the peer may leave bytes unacknowledged: longer for
// calls that may not be repeated.
func (n *connection) setSilenceTimeout(long bool) {
	if n.longSilence == long {
		return
	}
	n.longSilence = long
	bound := nearSilence
	if long {
		bound = longSilence
	}
	kqhangup.Bound(n.Conn, bound)
}

func (c *Client) release(n *connection) {
	n.until = time.Now().Add(n.kept)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, n)
}

func (c *Client) drop(n *connection) {
	_ = n.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

// Write counts what reached the connection.
func (n *connection) Write(data []byte) (int, error) {
	count, err := n.Conn.Write(data)
	n.written += count
	return count, err
}
