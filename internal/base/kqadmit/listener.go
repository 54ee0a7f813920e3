package kqadmit

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/base/kqmemory"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqreclaim"
)

// bufferGrowth is how much more memory than its length a request takes whose buffer grows by copying.
const bufferGrowth = 2

// ErrNoMemory is returned by reads when no memory is left for the request, or when the client has to
// give way to others. The connection is closed then.
var ErrNoMemory = errors.New("no memory left for the request")

type (
	// Listener accepts connections that there is room for and closes the others. Only one goroutine
	// may call Accept.
	Listener struct {
		net.Listener
		group     *kqmemory.Group
		least     int
		onRefused func()
	}

	// connection must be read by one goroutine at a time.
	connection struct {
		net.Conn
		client *kqmemory.Client
		memory *kqmemory.Reservation
		least  int

		mu sync.Mutex
		// arrived is the number of bytes that have arrived since the last write.
		arrived int
	}
)

// New returns a listener over l whose connections are clients of the group. Each request reserves at
// least the given number of bytes. refused is called for each connection that there is no room for.
func New(l net.Listener, g *kqmemory.Group, least int, refused func()) *Listener {
	return &Listener{Listener: l, group: g, least: least, onRefused: refused}
}

// Accept implements net.Listener. It does not wrap the error, because servers compare it.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: conn, least: l.least}
		// Nothing is sent to a client that gives way: what it has sent is incomplete or nothing.
		client, admitted := l.group.Admit(func(kqreclaim.State) { _ = conn.Close() }, time.Now())
		if !admitted {
			_ = conn.Close()
			l.onRefused()
			continue
		}
		c.client, c.memory = client, client.NewReservation()
		return c, nil
	}
}

// NetConn returns the connection beneath.
func (c *connection) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It does not wrap errors, because servers compare them.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.receive(n, time.Now()) {
		_ = c.Conn.Close()
		return 0, ErrNoMemory
	}
	return n, err
}

// receive reserves memory for what has arrived, and reports whether there is enough.
func (c *connection) receive(bytes int, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrived += bytes
	if !c.client.Receive(bytes, now) {
		return false
	}
	need, held := max(bufferGrowth*c.arrived, c.least), c.memory.Held(kqmemory.Calls)
	return need <= held || c.memory.Reserve(kqmemory.Calls, need-held, 0)
}

// Write implements net.Conn. It releases the request's memory once the response has been written.
func (c *connection) Write(b []byte) (int, error) {
	c.client.Serve()
	before := c.client.Send(time.Now())
	n, err := c.Conn.Write(b)
	c.client.Sent(before)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrived = 0
	c.memory.Release(kqmemory.Calls, c.memory.Held(kqmemory.Calls))
	c.client.Await(time.Now())
	return n, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.client.Close()
	return errors.Join(c.memory.Close(), c.Conn.Close())
}
