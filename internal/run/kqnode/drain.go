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
	// settleFor is how long a connection takes at most from its first packet to
	// its being accepted and its call's being begun.
	settleFor = 100 * time.Millisecond
	// callerGrace is how long callers from outside are given at least to go
	// elsewhere when the node leaves: whoever places them asks once a second
	// whether the node is ready and needs two answers. callerQuiet without a call
	// tells that they have gone; where too few other nodes are ready they stay,
	// and are served until closeMargin before the end: a call that is taken then has
	// as long to be answered as all but the slowest take.
	callerGrace = 2200 * time.Millisecond
	callerQuiet = 700 * time.Millisecond
	closeMargin = 2300 * time.Millisecond
	emptyPoll   = 10 * time.Millisecond
	// ownGrace is how long callers are given where nobody asks whether the node
	// is ready.
	ownGrace = time.Second
	// lastAnswers is how long calls that were cancelled have for their answers, and
	// goodbyeFor how long the others are told of the end; both are part of stopMargin.
	lastAnswers = 150 * time.Millisecond
	goodbyeFor  = 200 * time.Millisecond
	// operatorsFor is how long operators' requests have for their answers once the
	// calls are over: as long as the platform may take for a change.
	operatorsFor = 2 * time.Second
)

// leaveCalls ends the call flow without cutting a call. Closing a connection
// that looks idle may meet a call that is on its way, whose caller could not
// tell whether it ran. So each response asks first for its connection to be
// closed, and the servers stay until the others have let go of theirs, or have
// had the time to: nodes keep an idle connection for kqsend.IdleFor only.
func (n *Node) leaveCalls(ctx context.Context) error {
	n.gate.Leave()
	n.quiesce(ctx, RoleEntry, RoleLocal)
	err := n.finish(ctx, n.entry.Calls, map[Role]*fasthttp.Server{RoleEntry: n.servers.entry, RoleLocal: n.servers.local})
	n.entry.Close()
	n.emptied(ctx, kqsend.IdleFor+sweepEvery, RoleGate)
	n.quiesce(ctx, RoleGate)
	return errors.Join(err, n.finish(ctx, n.hangup.Count, map[Role]*fasthttp.Server{RoleGate: n.servers.gate}))
}

// finish shuts servers down. Calls that outlast the time for it are cancelled, and their
// callers told so: cut off by the end of the process, they would have no answer.
func (n *Node) finish(ctx context.Context, calls func() int, servers map[Role]*fasthttp.Server) error {
	busy := func() int { return calls() + n.early(servers) }
	n.quiet(ctx, busy, servers)
	if ctx.Err() != nil {
		return n.cutShort(busy, servers)
	}
	err := shutdown(ctx, servers)
	if errors.Is(err, context.DeadlineExceeded) {
		err = errors.Join(err, n.cutShort(busy, servers))
	}
	return err
}

// cutShort ends the calls that are still under way, and the reading of those that callers
// still send, and lets both have their answers. A server that is shut down before would
// close a connection with its next answer, whatever else is due on it. All of it has
// lastAnswers: a process that takes longer is killed in its leave.
func (n *Node) cutShort(busy func() int, servers map[Role]*fasthttp.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswers)
	defer cancel()
	var err error
	if busy() > 0 {
		n.note(logrus.Fields{"event": "leaving", "step": "cancelled"}, "Leaving: calls that take longer are cancelled.")
		err = fmt.Errorf("drain: calls were cancelled: %w", context.DeadlineExceeded)
	}
	n.hangup.Cancel(kqcall.Draining)
	for role := range servers {
		if l, ok := n.connections[role]; ok {
			l.EndReading(time.Now())
		}
	}
	ticker := time.NewTicker(emptyPoll)
	defer ticker.Stop()
	for busy() > 0 && ctx.Err() == nil {
		<-ticker.C
	}
	return errors.Join(err, shutdown(ctx, servers))
}

// early returns how many calls are served before their turn on their connections.
func (n *Node) early(servers map[Role]*fasthttp.Server) int {
	count := 0
	for role := range servers {
		if l, ok := n.connections[role]; ok {
			count += l.Early()
		}
	}
	return count
}

// quiet closes listeners and returns once no call has been under way for a while. From
// its shutdown on a server closes each connection with the next answer, also one on
// which its caller has sent two calls; until then the entry sees to both. Connections
// on which nothing has come by now are closed: the library would wait for them.
func (n *Node) quiet(ctx context.Context, calls func() int, servers map[Role]*fasthttp.Server) {
	for role := range servers {
		if l, ok := n.connections[role]; ok {
			_ = l.Close()
			l.InOrder()
		}
	}
	ticker := time.NewTicker(emptyPoll)
	defer ticker.Stop()
	for last := time.Now(); time.Since(last) < settleFor && ctx.Err() == nil; {
		<-ticker.C
		if calls() > 0 {
			last = time.Now()
		}
	}
	for role := range servers {
		if l, ok := n.connections[role]; ok {
			l.CloseSilent()
		}
	}
}

// deserted returns once callers come no more, or when it is time to close.
func (n *Node) deserted(ctx context.Context) {
	began := time.Now()
	if n.adapter.Dialect == nil {
		// Our own callers learn of it from the answers alone.
		n.emptied(ctx, ownGrace, RoleEntry)
		return
	}
	end, _ := ctx.Deadline()
	ticker := time.NewTicker(emptyPoll)
	defer ticker.Stop()
	for now := range ticker.C {
		if now.Sub(began) >= callerGrace && n.entry.Quiet(now) >= callerQuiet || now.After(end.Add(-closeMargin)) {
			return
		}
	}
}

// open returns how many connections of a role are open.
func (n *Node) open(r Role) int {
	if l, ok := n.connections[r]; ok {
		return l.Open()
	}
	return 0
}

// emptied returns once a role has no connections, or after at most a while.
func (n *Node) emptied(ctx context.Context, most time.Duration, r Role) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	ticker := time.NewTicker(emptyPoll)
	defer ticker.Stop()
	for n.open(r) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// shutdown closes idle connections and waits for the calls in flight.
func shutdown(ctx context.Context, servers map[Role]*fasthttp.Server) error {
	var errs []error
	for _, server := range servers {
		if err := server.ShutdownWithContext(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
			errs = append(errs, fmt.Errorf("drain: %w", err))
		}
	}
	return errors.Join(errs...)
}

// quiesce lets nobody connect to some listeners any more and waits until those
// who just did have their calls begun. Closed without it, a listener would
// reset connections that it has not accepted yet, and cut the calls on them.
func (n *Node) quiesce(ctx context.Context, roles ...Role) {
	for _, role := range roles {
		l, ok := n.callListeners[role]
		if !ok {
			continue
		}
		if err := kqquiesce.Quiesce(l); err != nil {
			n.log.WithError(err).Debug("Closes without a wait.")
			return
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(settleFor):
	}
}
