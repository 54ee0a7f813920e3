package kqmemory

import (
	"sync/atomic"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqreclaim"
)

// progressBytes is how many bytes of a request count as progress, so that a client that sends byte by
// byte makes next to none.
const progressBytes = 1 << 10

type (
	// Group is the clients of one listener.
	Group struct {
		account *Account
		// reserved is how many connections of the account's limit are kept for this group.
		reserved int
		// connectionMemory is what each connection takes, in bytes.
		connectionMemory int
		// open is guarded by the account's lock.
		open int
	}

	// Client is a client's connection. Its methods do nothing, and allow everything, if it is nil.
	Client struct {
		group   *Group
		giveWay func(kqreclaim.State)
		state   atomic.Int32
		// progress is when the client last made progress, in nanoseconds since the account was
		// created.
		progress atomic.Int64
		// unproven is the number of bytes received since. Only one goroutine receives.
		unproven int
		// held is the memory that is reserved for the client beside its connection, by use.
		held [useCount]atomic.Int64
	}
)

// Group returns a new group, for which a number of connections is kept from those of other groups.
func (a *Account) Group(reserved, connectionMemory int) *Group {
	g := &Group{account: a, reserved: reserved, connectionMemory: connectionMemory}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.groups = append(a.groups, g)
	return g
}

// Linger reserves the memory of a connection whose input is only discarded, and reports whether there
// was enough.
func (g *Group) Linger() bool { return g.account.reserve(Calls, LingeringMemory, 0, 0) }

// EndLinger releases what Linger has reserved.
func (g *Group) EndLinger() { g.account.release(Calls, LingeringMemory) }

// Admit counts a client that has connected. If there is no room, other clients give way. If there is
// none all the same, it reports false. giveWay is called with the client's state when the client has
// to give way.
func (g *Group) Admit(giveWay func(kqreclaim.State), now time.Time) (*Client, bool) {
	c := &Client{group: g, giveWay: giveWay}
	a := g.account
	c.progress.Store(int64(now.Sub(a.started)))
	a.mu.Lock()
	admitted, victims := a.admit(c, now)
	a.mu.Unlock()
	a.giveWay(victims)
	return c, admitted
}

// admit counts the client, and returns who gives way. The caller holds a.mu.
func (a *Account) admit(c *Client, now time.Time) (admitted bool, victims []victim) {
	g := c.group
	if !a.hasConnection(g) {
		victims = a.reclaimConnections(g, now)
	}
	if a.hasConnection(g) && !a.fits(Connections, g.connectionMemory, 0) {
		victims = append(victims, a.reclaimConnections(nil, now)...)
	}
	if !a.hasConnection(g) || !a.fits(Connections, g.connectionMemory, 0) {
		return false, victims
	}
	a.used[Connections] += g.connectionMemory
	a.open++
	g.open++
	a.clients[c] = struct{}{}
	return true, victims
}

// reclaimConnections marks clients whose connections are closed to make room, those of one group only
// if it is not nil. The caller holds a.mu.
func (a *Account) reclaimConnections(g *Group, now time.Time) []victim {
	if now.Before(a.nobodyIdleUntil) {
		return nil
	}
	victims := a.markReclaimed(kqreclaim.ForConnections(a.list(g), now))
	if len(victims) == 0 {
		a.nobodyIdleUntil = now.Add(reclaimInterval)
	}
	return victims
}

// hasConnection reports whether the group may have another connection.
func (a *Account) hasConnection(g *Group) bool {
	kept := 0
	for _, other := range a.groups {
		if other != g {
			kept += max(other.reserved-other.open, 0)
		}
	}
	return a.maxOpen == 0 || a.open+kept < a.maxOpen
}

// State returns what the client is doing.
func (c *Client) State() kqreclaim.State {
	if c == nil {
		return kqreclaim.Idle
	}
	return kqreclaim.State(c.state.Load())
}

// Await records that the client may send its next request, if the last one has been processed.
func (c *Client) Await(now time.Time) {
	if c != nil && c.move(kqreclaim.Serving, kqreclaim.Idle) {
		c.recordProgress(now)
	}
}

// Receive records that bytes of a request have arrived, and reports false if the client has to give
// way.
func (c *Client) Receive(bytes int, now time.Time) bool {
	switch {
	case c == nil:
		return true
	case c.move(kqreclaim.Idle, kqreclaim.Receiving):
		c.unproven = 0
		c.recordProgress(now)
	case c.State() == kqreclaim.Receiving:
		if c.unproven += bytes; c.unproven >= progressBytes {
			c.unproven = 0
			c.recordProgress(now)
		}
	}
	return c.State() != kqreclaim.Reclaimed
}

// Serve records that the client's request is being processed.
func (c *Client) Serve() {
	if c != nil && !c.move(kqreclaim.Receiving, kqreclaim.Serving) {
		c.move(kqreclaim.Idle, kqreclaim.Serving)
	}
}

// Send records that a part of a response is being written. The returned state is that before.
func (c *Client) Send(now time.Time) kqreclaim.State {
	if c == nil {
		return kqreclaim.Serving
	}
	before := c.State()
	if before != kqreclaim.Reclaimed && before != kqreclaim.Sending && c.move(before, kqreclaim.Sending) {
		c.recordProgress(now)
	}
	return before
}

// Progress records that the client has received a part of a response.
func (c *Client) Progress(now time.Time) {
	if c != nil {
		c.recordProgress(now)
	}
}

// Sent records that a part of a response has been written, and returns to the state before.
func (c *Client) Sent(before kqreclaim.State) {
	if c != nil {
		c.move(kqreclaim.Sending, before)
	}
}

// Close removes the client. Its reservations are released when they are closed.
func (c *Client) Close() {
	if c == nil {
		return
	}
	a := c.group.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forget(c)
}

func (c *Client) move(from, to kqreclaim.State) bool {
	return c.state.CompareAndSwap(int32(from), int32(to))
}

func (c *Client) recordProgress(now time.Time) {
	c.progress.Store(int64(now.Sub(c.group.account.started)))
}
