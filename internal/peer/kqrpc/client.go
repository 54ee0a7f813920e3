package kqrpc

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// dialTimeout bounds the opening of a connection, including its ClientGuard.
	dialTimeout = time.Second
	// maxConnections bounds the connections to one peer. Each carries one request at a time:
	// on a single one, heartbeats and versions would wait for a transfer of objects.
	maxConnections = 3
)

type (
	// Client sends requests to peers over persistent connections, usually one to each. It is
	// safe for concurrent use.
	Client struct {
		self  kqname.Node
		meter Meter
		dial  Dialer
		guard ClientGuard

		mu    sync.Mutex
		peers map[kqname.Address]*peerPool
	}

	// Dialer opens a connection to a peer.
	Dialer func(ctx context.Context, to kqname.Address) (net.Conn, error)

	// ClientGuard secures a connection to a peer, such as by TLS, before anything
	// is sent on it.
	ClientGuard func(ctx context.Context, conn net.Conn) (net.Conn, error)

	// ClientOption configures a Client.
	ClientOption func(*Client)

	// peerPool holds the connections to one peer.
	peerPool struct {
		// requests holds a token for each request in flight. It is a channel so that a
		// goroutine that waits for slow requests can give up at its own deadline.
		requests chan struct{}

		mu sync.Mutex
		// idle holds the connections without a request, the last used one last.
		idle []idleConn
		// removed is set once the client has forgotten the pool, which then keeps nothing.
		removed bool
	}

	idleConn struct {
		*drpcconn.Conn
		lastUsed time.Time
	}
)

// WithDialer sets the dialer; the default is plain TCP.
func WithDialer(d Dialer) ClientOption { return func(c *Client) { c.dial = d } }

// WithClientGuard sends requests only on connections that g has secured.
func WithClientGuard(g ClientGuard) ClientOption { return func(c *Client) { c.guard = g } }

// NewClient returns a client that sends requests as the node self; meter may be nil.
func NewClient(self kqname.Node, meter Meter, options ...ClientOption) *Client {
	c := &Client{self: self, meter: meter, peers: make(map[kqname.Address]*peerPool), dial: dialTCP}
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
	p := c.pool(to)
	select {
	case p.requests <- struct{}{}:
	case <-ctx.Done():
		return response, fmt.Errorf("wait for earlier requests to %s: %w", to, ctx.Err())
	}
	defer func() { <-p.requests }()
	conn := p.take()
	if conn == nil {
		var err error
		if conn, err = c.connect(ctx, to); err != nil {
			return response, fmt.Errorf("connect to %s: %w", to, err)
		}
	}
	if err := conn.Invoke(ctx, method, codec{}, &envelope[Req]{From: c.self, Body: request}, &response); err != nil {
		_ = conn.Close()
		return response, fmt.Errorf("call %s at %s: %w", method, to, err)
	}
	p.put(conn, time.Now())
	return response, nil
}

// Disconnect closes and removes the connections to a peer. It waits for requests in flight.
func (c *Client) Disconnect(to kqname.Address) {
	c.mu.Lock()
	p, ok := c.peers[to]
	delete(c.peers, to)
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
	var idle []idleConn
	for to, p := range c.peers {
		expired, empty := p.takeIdleSince(before)
		if idle = append(idle, expired...); empty {
			delete(c.peers, to)
		}
	}
	c.mu.Unlock()
	for _, conn := range idle {
		_ = conn.Close()
	}
}

// Close closes and removes every connection. It waits for requests in flight.
func (c *Client) Close() {
	c.mu.Lock()
	peers := c.peers
	c.peers = make(map[kqname.Address]*peerPool)
	c.mu.Unlock()
	for _, p := range peers {
		p.close()
	}
}

// pool returns the connections to a peer, without opening one.
func (c *Client) pool(to kqname.Address) *peerPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[to]
	if !ok {
		p = &peerPool{requests: make(chan struct{}, maxConnections)}
		c.peers[to] = p
	}
	return p
}

// connect opens a connection to a peer.
func (c *Client) connect(ctx context.Context, to kqname.Address) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	var secured net.Conn = meteredConn{Conn: raw, meter: c.meter}
	if c.guard != nil {
		if secured, err = c.guard(ctx, secured); err != nil {
			_ = raw.Close()
			return nil, err
		}
	}
	return drpcconn.NewWithOptions(secured, drpcconn.Options{Manager: managerOptions()}), nil
}

// take returns the last used idle connection that is still open, or nil.
func (p *peerPool) take() *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for last := len(p.idle) - 1; last >= 0; last-- {
		conn := p.idle[last].Conn
		p.idle = p.idle[:last]
		select {
		case <-conn.Closed():
		default:
			return conn
		}
	}
	return nil
}

func (p *peerPool) put(conn *drpcconn.Conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.removed {
		_ = conn.Close()
		return
	}
	p.idle = append(p.idle, idleConn{conn, now})
}

// takeIdleSince removes and returns the connections that have been idle since before the
// given time. It removes the pool, and reports so, if no connection is left and no request is
// in flight.
func (p *peerPool) takeIdleSince(before time.Time) (expired []idleConn, empty bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for count < len(p.idle) && p.idle[count].lastUsed.Before(before) {
		count++
	}
	expired = slices.Clone(p.idle[:count])
	p.idle = slices.Delete(p.idle, 0, count)
	p.removed = len(p.idle) == 0 && len(p.requests) == 0
	return expired, p.removed
}

// close waits for the requests in flight and closes all connections.
func (p *peerPool) close() {
	for range maxConnections {
		p.requests <- struct{}{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		_ = conn.Close()
	}
	p.idle, p.removed = nil, true
	for range maxConnections {
		<-p.requests
	}
}

func dialTCP(ctx context.Context, to kqname.Address) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return conn, nil
}
