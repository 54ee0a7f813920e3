package kqconnection

import (
	"errors"
	"net"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/base/kqmemory"
	"github.com/kumquatgw/kumquatgw/internal/call/kqdisconnect"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqreclaim"
)

var (
	// ErrNoMemory is returned when no memory is left for a request's head.
	ErrNoMemory = errors.New("no memory left for the request head")
	// ErrReclaimed is returned when the client has to give way to others.
	ErrReclaimed = errors.New("the client made no progress while memory or connections were short")
)

// WithGroup makes connections, and what is read from them, reserve memory as clients of g. refused
// is called for each connection that there is no room for.
func WithGroup(g *kqmemory.Group, refused func()) Option {
	return func(l *Listener) { l.group, l.onRefused = g, refused }
}

// WithRefusal sets the function that returns the response to the first request, whose head may have
// arrived in part, on a connection that there is no room for. By default such a connection is closed
// at once.
func WithRefusal(response func(head []byte) []byte) Option {
	return func(l *Listener) { l.refusal = response }
}

// admit reserves the connection's memory and reports whether there is room for it.
func (c *connection) admit(now time.Time) bool {
	if c.listener.group == nil {
		return true
	}
	var admitted bool
	c.client, admitted = c.listener.group.Admit(c.giveWay, now)
	c.heads, c.ahead = c.client.NewReservation(), c.client.NewReservation()
	return admitted
}

// giveWay ends what the client, which makes no progress, is doing: an idle connection is closed, a
// request that has arrived in part is refused, and a response that is not read is cut off.
func (c *connection) giveWay(s kqreclaim.State) {
	past := time.Unix(0, 1)
	// An error means that the connection was closed in the meantime.
	switch s {
	case kqreclaim.Receiving:
		_ = c.SetReadDeadline(past)
	case kqreclaim.Sending:
		_ = c.SetWriteDeadline(past)
	default:
		// A request that has arrived meanwhile is refused once it is read.
		if _, readable := kqdisconnect.NewProbe(c.TCPConn).Peek(); !readable {
			_ = c.TCPConn.Close()
		}
	}
}

// ClientOf returns the client of a connection that a Listener has accepted, also of one beneath TLS,
// or nil.
func ClientOf(conn net.Conn) *kqmemory.Client {
	if c := connectionOf(conn); c != nil {
		return c.client
	}
	return nil
}

// connectionOf returns the connection that a Listener has accepted, also one beneath TLS, or nil.
func connectionOf(conn net.Conn) *connection {
	for {
		if c, ok := conn.(*connection); ok {
			return c
		}
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = outer.NetConn()
	}
}

// buffer keeps bytes behind the current request, and reports whether there was memory for them.
func (c *connection) buffer(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffered = append(c.buffered, data...)
	need := bufferGrowth * len(c.buffered)
	held := c.ahead.Held(kqmemory.Calls)
	return need <= held || c.ahead.Reserve(kqmemory.Calls, need-held, 0)
}

// reserveHead reserves the memory of the current request's head as far as it has arrived. The server
// keeps it for the next request's.
func (c *connection) reserveHead() bool {
	held := c.heads.Held(kqmemory.Calls)
	need := c.framer.head.memory()
	return need <= held || c.heads.Reserve(kqmemory.Calls, need-held, 0)
}
