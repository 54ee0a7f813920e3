package kqpeer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const dialTimeout = time.Second

type (
	// Client sends requests to peers and keeps one connection to each.
	Client struct {
		self  kqname.Node
		meter Meter
		dial  Dialer
		guard ClientGuard

		mu    sync.Mutex
		links map[kqname.Address]*link
	}

	// Dialer opens a connection to a peer.
	Dialer func(ctx context.Context, to kqname.Address) (net.Conn, error)

	// ClientGuard secures a connection to a peer before anything is sent on it.
	ClientGuard func(ctx context.Context, conn net.Conn) (net.Conn, error)

	// ClientOption sets up a Client.
	ClientOption func(*Client)

	link struct {
		// turn is held for one exchange: a drpc connection takes one at a time.
		// It is a channel so that whoever waits for a slow exchange to end can
		// stop waiting at its own deadline.
		turn chan struct{}
		conn *drpcconn.Conn
		used time.Time
	}
)

// WithDialer replaces plain TCP.
func WithDialer(d Dialer) ClientOption { return func(c *Client) { c.dial = d } }

// WithClientGuard sends requests only on connections that g accepts.
func WithClientGuard(g ClientGuard) ClientOption { return func(c *Client) { c.guard = g } }

// NewClient returns a client that speaks as self; meter may be nil.
func NewClient(self kqname.Node, meter Meter, options ...ClientOption) *Client {
	c := &Client{self: self, meter: meter, links: make(map[kqname.Address]*link), dial: dialTCP}
	for _, o := range options {
		o(c)
	}
	return c
}

// Call sends q to a peer's method and waits for its answer. The connection is
// closed, never used again, when the exchange fails: a late answer on it could
// otherwise be taken for the next request's.
func Call[Q, A any](ctx context.Context, c *Client, to kqname.Address, method string, q Q) (A, error) {
	var a A
	l := c.link(to)
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return a, fmt.Errorf("wait for the link to %s: %w", to, ctx.Err())
	}
	defer func() { <-l.turn }()
	l.used = time.Now()
	if err := c.connect(ctx, l, to); err != nil {
		return a, fmt.Errorf("connect to %s: %w", to, err)
	}
	if err := l.conn.Invoke(ctx, method, codec{}, &envelope[Q]{From: c.self, Body: q}, &a); err != nil {
		_ = l.conn.Close()
		l.conn = nil
		return a, fmt.Errorf("%s at %s: %w", method, to, err)
	}
	return a, nil
}

// Forget closes the connection to a peer.
func (c *Client) Forget(to kqname.Address) {
	c.mu.Lock()
	l, ok := c.links[to]
	delete(c.links, to)
	c.mu.Unlock()
	if ok {
		l.close()
	}
}

// Sweep closes the connections that have been idle since before the given time.
// Without it, a node that exchanges with one random peer after the other would
// end up with a connection to each.
func (c *Client) Sweep(before time.Time) {
	c.mu.Lock()
	var idle []*link
	for to, l := range c.links {
		select {
		case l.turn <- struct{}{}:
			if l.used.Before(before) {
				delete(c.links, to)
				idle = append(idle, l)
			}
			<-l.turn
		default:
		}
	}
	c.mu.Unlock()
	for _, l := range idle {
		l.close()
	}
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	links := c.links
	c.links = make(map[kqname.Address]*link)
	c.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

func (c *Client) link(to kqname.Address) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.links[to]
	if !ok {
		l = &link{turn: make(chan struct{}, 1)}
		c.links[to] = l
	}
	return l
}

func (c *Client) connect(ctx context.Context, l *link, to kqname.Address) error {
	if l.conn != nil {
		select {
		case <-l.conn.Closed():
			l.conn = nil
		default:
			return nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, to)
	if err != nil {
		return err
	}
	var secured net.Conn = meteredConn{Conn: raw, meter: c.meter}
	if c.guard != nil {
		if secured, err = c.guard(ctx, secured); err != nil {
			_ = raw.Close()
			return err
		}
	}
	l.conn = drpcconn.NewWithOptions(secured, drpcconn.Options{Manager: managerOptions()})
	return nil
}

func (l *link) close() {
	l.turn <- struct{}{}
	defer func() { <-l.turn }()
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

func dialTCP(ctx context.Context, to kqname.Address) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return conn, nil
}
