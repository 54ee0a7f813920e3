package kqrpc

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
	// Client sends requests to peers over one persistent connection to each. It is
	// safe for concurrent use.
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

	// ClientGuard secures a connection to a peer, such as by TLS, before anything
	// is sent on it.
	ClientGuard func(ctx context.Context, conn net.Conn) (net.Conn, error)

	// ClientOption configures a Client.
	ClientOption func(*Client)

	link struct {
		// lock is held during a request, since a drpc connection carries one at a
		// time. It is a channel and not a mutex so that a caller that waits for a
		// slow request can give up at its own deadline.
		lock     chan struct{}
		conn     *drpcconn.Conn
		lastUsed time.Time
	}
)

// WithDialer sets the dialer; the default is plain TCP.
func WithDialer(d Dialer) ClientOption { return func(c *Client) { c.dial = d } }

// WithClientGuard sends requests only on connections that g has secured.
func WithClientGuard(g ClientGuard) ClientOption { return func(c *Client) { c.guard = g } }

// NewClient returns a client that sends requests as the node self; meter may be nil.
func NewClient(self kqname.Node, meter Meter, options ...ClientOption) *Client {
	c := &Client{self: self, meter: meter, links: make(map[kqname.Address]*link), dial: dialTCP}
	for _, o := range options {
		o(c)
	}
	return c
}

// Call sends a request to a method of a peer and waits for the answer. If that
// fails, it closes the connection: on a reused one, a late answer could be taken
// for the answer to the next request.
func Call[Q, A any](ctx context.Context, c *Client, to kqname.Address, method string, q Q) (A, error) {
	var a A
	l := c.link(to)
	select {
	case l.lock <- struct{}{}:
	case <-ctx.Done():
		return a, fmt.Errorf("wait for an earlier request to %s: %w", to, ctx.Err())
	}
	defer func() { <-l.lock }()
	l.lastUsed = time.Now()
	if err := c.connect(ctx, l, to); err != nil {
		return a, fmt.Errorf("connect to %s: %w", to, err)
	}
	if err := l.conn.Invoke(ctx, method, codec{}, &envelope[Q]{From: c.self, Body: q}, &a); err != nil {
		_ = l.conn.Close()
		l.conn = nil
		return a, fmt.Errorf("call %s at %s: %w", method, to, err)
	}
	return a, nil
}

// Disconnect closes and removes the connection to a peer.
func (c *Client) Disconnect(to kqname.Address) {
	c.mu.Lock()
	l, ok := c.links[to]
	delete(c.links, to)
	c.mu.Unlock()
	if ok {
		l.close()
	}
}

// CloseIdle closes the connections that have been idle since before the given time.
// Without it, a node that sends heartbeats to random peers would end up with a
// connection to each node of the fleet.
func (c *Client) CloseIdle(before time.Time) {
	c.mu.Lock()
	var idle []*link
	for to, l := range c.links {
		select {
		case l.lock <- struct{}{}:
			if l.lastUsed.Before(before) {
				delete(c.links, to)
				idle = append(idle, l)
			}
			<-l.lock
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

// link returns the link to a peer, without connecting it.
func (c *Client) link(to kqname.Address) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.links[to]
	if !ok {
		l = &link{lock: make(chan struct{}, 1)}
		c.links[to] = l
	}
	return l
}

// connect opens the link's connection unless it is open; the caller holds the
// link's lock.
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
	l.lock <- struct{}{}
	defer func() { <-l.lock }()
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
