package kqnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqquiesce"
	"github.com/kumquatgw/kumquatgw/internal/call/kqsend"
)

const (
	// acceptGrace is the longest time from a connection's first packet until it is
	// accepted and its call has begun.
	acceptGrace = 100 * time.Millisecond
	// minCallerGrace is the shortest time that callers from outside get to move to
	// other nodes when a node with a platform's dialect leaves: the readiness probe runs
	// once a second and must fail twice.
	minCallerGrace = 2200 * time.Millisecond
	// callerQuietPeriod is the time without a call after which callers have moved.
	callerQuietPeriod = 700 * time.Millisecond
	// closeMargin is how long before the drain timeout new calls are refused even if
	// callers have not moved, for instance since too few other nodes are ready. It is time
	// enough for all but the slowest calls to finish.
	closeMargin = 2300 * time.Millisecond
	// acceptMargin is how long before the drain timeout connections are no longer accepted: the
	// calls on the last ones are refused before their connections are closed.
	acceptMargin = 4 * acceptGrace
	// drainPoll is the interval of the checks for calls and connections.
	drainPoll = 10 * time.Millisecond
	// noProbeGrace is how long callers get to close their connections without a
	// platform's dialect, when the node assumes that nothing probes its readiness.
	noProbeGrace = time.Second
	// cancelGrace is how long cancelled calls have to end, and finalAnnounceTimeout how long the
	// final announcement may take; both are part of killMargin.
	cancelGrace          = 150 * time.Millisecond
	finalAnnounceTimeout = 200 * time.Millisecond
	// exitMargin is the part of killMargin that is left for the process's exit. Until then, responses
	// that have begun are still written.
	exitMargin = 250 * time.Millisecond
	// adminShutdownTimeout is the longest time, within the drain timeout, for answering
	// operators' requests after the calls: as long as one answer of the platform may take
	// by default.
	adminShutdownTimeout = 2 * time.Second
)

// drainCalls stops the servers without cutting off a call that ends by ctx's deadline.
// Closing a connection that looks idle may race with a call on its way, whose caller could
// not tell whether it ran. Each response therefore asks for its connection to be closed
// first, and the gate's server waits until other nodes have closed theirs. It waits no
// longer than until their idle connections have timed out after kqsend.DefaultIdleTimeout.
// Calls that exceed the deadline are cancelled.
func (n *Node) drainCalls(ctx context.Context) error {
	n.gate.Drain()
	n.awaitParents(ctx)
	n.stopAccepting(ctx, RoleEntry, RoleLocal)
	err := n.drainServers(ctx, n.entry.Calls, map[Role]*fasthttp.Server{RoleEntry: n.servers.entry, RoleLocal: n.servers.local})
	n.entry.Close()
	n.awaitNoConnections(ctx, kqsend.DefaultIdleTimeout+sweepPeriod, RoleGate)
	n.stopAccepting(ctx, RoleGate)
	err = errors.Join(err, n.drainServers(ctx, n.disconnectWatcher.Count, map[Role]*fasthttp.Server{RoleGate: n.servers.gate}))
	if ctx.Err() == nil {
		return err
	}
	return errors.Join(err, n.cancelCalls())
}

// awaitParents returns once the local upstream runs no call, or acceptMargin before ctx's deadline.
// Until then it may still make calls that are nested in those that it runs, on new connections.
func (n *Node) awaitParents(ctx context.Context) {
	end, _ := ctx.Deadline()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	// A call that the gate took last has begun by the first tick.
	for now := range ticker.C {
		if n.nesting.Len() == 0 || now.After(end.Add(-acceptMargin)) {
			return
		}
	}
}

// drainServers closes the servers' listeners, waits for their calls and responses until ctx ends, and
// shuts the servers down if there are none by then.
func (n *Node) drainServers(ctx context.Context, calls func() int, servers map[Role]*fasthttp.Server) error {
	n.awaitIdle(ctx, func() int { return calls() + n.pipelinedCalls(servers) + n.exchanges(servers) }, servers)
	var err error
	if ctx.Err() == nil {
		err = shutdownServers(ctx, servers)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		// finishResponses reports what is left.
		return nil
	}
	return err
}

// cancelCalls cancels the calls in flight and stops reading those that callers still send, and waits
// for cancelGrace until both have ended. Their responses are written by finishResponses.
func (n *Node) cancelCalls() error {
	servers := n.callServers()
	busy := func() int { return n.disconnectWatcher.Count() + n.pipelinedCalls(servers) }
	var err error
	if busy() > 0 {
		fields := logrus.Fields{"event": "leaving", "step": "cancelled"}
		n.exchangeFields(fields, time.Now())
		n.logEvent(fields, "Leaving: calls that take longer are cancelled.")
		err = fmt.Errorf("drain: calls were cancelled: %w", context.DeadlineExceeded)
	}
	n.disconnectWatcher.CancelAll(kqcall.Draining)
	for _, l := range n.connections {
		l.InterruptReads(time.Now())
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelGrace)
	defer cancel()
	await(ctx, func() bool { return busy() == 0 })
	return err
}

// finishResponses waits until the responses that have begun are written, at most until the end, and
// closes the connections that are left. The end of the process would cut the responses off, and
// the HTTP library's shutdown only waits for them if none has run out of time before.
func (n *Node) finishResponses(end time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	servers := n.callServers()
	await(ctx, func() bool { return n.exchanges(servers) == 0 })
	var err error
	if left := n.exchanges(servers); left > 0 {
		err = fmt.Errorf("drain: %d responses were cut off: %w", left, context.DeadlineExceeded)
	}
	// Nothing is left to wait for.
	cancel()
	_ = shutdownServers(ctx, servers)
	return err
}

// callServers returns the servers of calls.
func (n *Node) callServers() map[Role]*fasthttp.Server {
	return map[Role]*fasthttp.Server{RoleEntry: n.servers.entry, RoleLocal: n.servers.local, RoleGate: n.servers.gate}
}

// exchanges returns how many connections of the servers have a request that has not been answered
// whole.
func (n *Node) exchanges(servers map[Role]*fasthttp.Server) int {
	count, now := 0, time.Now()
	for role := range servers {
		if l, ok := n.connections[role]; ok {
			count += l.Exchanges(now).Total()
		}
	}
	return count
}

// await returns once done reports true, or ctx ends.
func await(ctx context.Context, done func() bool) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for ctx.Err() == nil && !done() {
		<-ticker.C
	}
}

// pipelinedCalls returns how many pipelined calls were started before the calls ahead of
// them on their connections had been answered, and have not had their turn since.
func (n *Node) pipelinedCalls(servers map[Role]*fasthttp.Server) int {
	count := 0
	for role := range servers {
		if l, ok := n.connections[role]; ok {
			count += l.PipelinedCount()
		}
	}
	return count
}

// awaitIdle closes listeners and returns once no call has been in flight for acceptGrace,
// or ctx ends. A server that is shutting down closes each connection with its next
// answer, even if the caller has pipelined two calls; until it shuts down, it answers both.
// At the end awaitIdle closes the connections that have sent nothing, since the HTTP library
// would wait for them.
func (n *Node) awaitIdle(ctx context.Context, calls func() int, servers map[Role]*fasthttp.Server) {
	for role := range servers {
		if l, ok := n.connections[role]; ok {
			_ = l.Close()
			l.DisablePipelining()
		}
	}
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for last := time.Now(); time.Since(last) < acceptGrace && ctx.Err() == nil; {
		<-ticker.C
		if calls() > 0 {
			last = time.Now()
		}
	}
	for role := range servers {
		if l, ok := n.connections[role]; ok {
			l.CloseUnused()
		}
	}
}

// awaitCallersGone returns once callers from outside have stopped calling, or closeMargin
// before ctx's deadline. Without a platform's dialect it returns once they have closed their
// connections, or after noProbeGrace.
func (n *Node) awaitCallersGone(ctx context.Context) {
	began := time.Now()
	if n.adapter.Dialect == nil {
		// Probes are not expected: only the node's answers tell callers that it leaves.
		n.awaitNoConnections(ctx, noProbeGrace, RoleEntry)
		return
	}
	end, _ := ctx.Deadline()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for now := range ticker.C {
		if now.Sub(began) >= minCallerGrace && n.entry.SinceLastCall(now) >= callerQuietPeriod || now.After(end.Add(-closeMargin)) {
			return
		}
	}
}

// openConnections returns the number of open connections of a role.
func (n *Node) openConnections(r Role) int {
	if l, ok := n.connections[r]; ok {
		return l.OpenCount()
	}
	return 0
}

// awaitNoConnections returns once a role has no open connections, or after the timeout.
func (n *Node) awaitNoConnections(ctx context.Context, timeout time.Duration, r Role) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for n.openConnections(r) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// shutdownServers closes idle connections and waits for the calls in flight until ctx ends.
func shutdownServers(ctx context.Context, servers map[Role]*fasthttp.Server) error {
	var errs []error
	for _, server := range servers {
		if err := server.ShutdownWithContext(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
			errs = append(errs, fmt.Errorf("drain: %w", err))
		}
	}
	return errors.Join(errs...)
}

// stopAccepting blocks new connections to the roles' listeners and waits for acceptGrace,
// until the calls on the connections just made have begun. A listener that is closed without
// this resets the connections that it has not accepted yet, which cuts off the calls on them.
// If new connections cannot be blocked, it returns at once.
func (n *Node) stopAccepting(ctx context.Context, roles ...Role) {
	for _, role := range roles {
		l, ok := n.callListeners[role]
		if !ok {
			continue
		}
		if err := kqquiesce.Quiesce(l); err != nil {
			n.log.WithError(err).Debug("Cannot block new connections; listeners close without a wait.")
			return
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(acceptGrace):
	}
}
