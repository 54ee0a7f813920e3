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

// dialTimeout bounds the opening of a connection, including its ClientGuard.
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
		conns map[kqname.Address]*peerConn
	}

	// Dialer opens a connection to a peer.
	Dialer func(ctx context.Context, to kqname.Address) (net.Conn, error)

	// ClientGuard secures a connection to a peer, such as by TLS, before anything
	// is sent on it.
	ClientGuard func(ctx context.Context, conn net.Conn) (net.Conn, error)

	// ClientOption configures a Client.
	ClientOption func(*Client)

	// peerConn is the connection to one peer; conn is nil until it is opened.
	peerConn struct {
		// lock is held during a request, since a drpc connection carries one at a
		// time. It is a channel and not a mutex so that a goroutine that waits for
		// a slow request can give up at its own deadline.
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
	c := &Client{self: self, meter: meter, conns: make(map[kqname.Address]*peerConn), dial: dialTCP}
	for _, o := range options {
		o(c)
	}
	return c
}

// Call sends a request to a method of a peer and waits for the answer. If the request
// fails, Call closes the connection: if it were reused, a late answer could be taken for
// the answer to the next request.
func Call[Req, Resp any](ctx context.Context, c *Client, to kqname.Address, method string, request Req) (Resp, error) {
	var response Resp
	p := c.peerConn(to)
	select {
	case p.lock <- struct{}{}:
	case <-ctx.Done():
		return response, fmt.Errorf("wait for an earlier request to %s: %w", to, ctx.Err())
	}
	defer func() { <-p.lock }()
	p.lastUsed = time.Now()
	if err := c.connect(ctx, p, to); err != nil {
		return response, fmt.Errorf("connect to %s: %w", to, err)
	}
	if err := p.conn.Invoke(ctx, method, codec{}, &envelope[Req]{From: c.self, Body: request}, &response); err != nil {
		_ = p.conn.Close()
		p.conn = nil
		return response, fmt.Errorf("call %s at %s: %w", method, to, err)
	}
	return response, nil
}

// Disconnect closes and removes the connection to a peer. It waits for a request in
// flight.
func (c *Client) Disconnect(to kqname.Address) {
	c.mu.Lock()
	p, ok := c.conns[to]
	delete(c.conns, to)
	c.mu.Unlock()
	if ok {
		p.close()
	}
}

// CloseIdle closes the connections that have been idle since before the given time.
// Without it, a node that sends heartbeats to random peers would end up with a
// connection to each node of the fleet.
func (c *Client) CloseIdle(before time.Time) {
	c.mu.Lock()
	var idle []*peerConn
	for to, p := range c.conns {
		select {
		case p.lock <- struct{}{}:
			if p.lastUsed.Before(before) {
				delete(c.conns, to)
				idle = append(idle, p)
			}
			<-p.lock
		default:
		}
	}
	c.mu.Unlock()
	for _, p := range idle {
		p.close()
	}
}

// Close closes and removes every connection. It waits for requests in flight.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = make(map[kqname.Address]*peerConn)
	c.mu.Unlock()
	for _, p := range conns {
		p.close()
	}
}

// peerConn returns the connection to a peer, without opening it.
func (c *Client) peerConn(to kqname.Address) *peerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.conns[to]
	if !ok {
		p = &peerConn{lock: make(chan struct{}, 1)}
		c.conns[to] = p
	}
	return p
}

// connect opens a connection to a peer unless it is open. p.lock must be held.
func (c *Client) connect(ctx context.Context, p *peerConn, to kqname.Address) error {
	if p.conn != nil {
		select {
		case <-p.conn.Closed():
			p.conn = nil
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
	p.conn = drpcconn.NewWithOptions(secured, drpcconn.Options{Manager: managerOptions()})
	return nil
}

func (p *peerConn) close() {
	p.lock <- struct{}{}
	defer func() { <-p.lock }()
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}

func dialTCP(ctx context.Context, to kqname.Address) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return conn, nil
}
