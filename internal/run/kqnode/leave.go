package kqnode

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
)

// leave first waits for callers to move to other nodes. The local upstream stays in use
// meanwhile: it is healthy, and unreachable once its node has stopped. Then leave announces
// that the node leaves, so that other nodes stop sending to it, and waits for the calls in
// flight. In the reverse order, calls would reach a closed gate. Last, it announces the end
// of the process, writes what is left of the responses and shuts the admin server down.
func (n *Node) leave() error {
	n.leaving.Store(true)
	n.logEvent(logrus.Fields{"event": "leaving", "step": "begun", "within_ms": n.drainTimeout().Milliseconds()}, "Leaving.")
	ctx, cancel := context.WithTimeout(context.Background(), n.drainTimeout())
	defer cancel()
	if end, ok := ctx.Deadline(); ok {
		n.grace.End(end)
	}
	// A panic in one step must not keep the calls in flight from finishing.
	n.supervisor.RunRecovered("leave", func() { n.divertTraffic(ctx) })
	var err error
	n.supervisor.RunRecovered("leave", func() { err = n.drainCalls(ctx) })
	// Calls have ended or were cancelled. New calls have been refused since RefuseAll.
	n.logLeaveStep("no calls are taken")
	n.supervisor.RunRecovered("leave", n.announceDead)
	n.supervisor.RunRecovered("leave", func() { n.distribution.reader.Close(ctx) })
	if end, ok := ctx.Deadline(); ok {
		n.supervisor.RunRecovered("leave", func() { err = errors.Join(err, n.finishResponses(end.Add(killMargin-exitMargin))) })
	}
	return errors.Join(err, n.shutdownAdmin(ctx))
}

// divertTraffic waits for callers to move to other nodes and then refuses new calls,
// announces to other nodes that this one leaves, and releases its rollouts' leases.
func (n *Node) divertTraffic(ctx context.Context) {
	n.entry.Drain()
	n.awaitCallersGone(ctx)
	n.entry.RefuseAll()
	n.logLeaveStep("callers have gone, or had the time to")
	n.table.Update(func(m *kqmember.Member) { m.State = kqmember.Leaving })
	n.memberSync.FlushUpdates(ctx)
	n.rollouts.releaseLeases(ctx)
	// The new state was sent to other nodes; some may not have received it.
	n.logLeaveStep("the others know")
}

// announceDead announces the end of the process, so that other nodes need not suspect it
// first. It has a timeout of its own, since calls may have used up the time for the leave.
func (n *Node) announceDead() {
	ctx, cancel := context.WithTimeout(context.Background(), finalAnnounceTimeout)
	defer cancel()
	n.table.Update(func(m *kqmember.Member) { m.State = kqmember.Dead })
	n.memberSync.FlushUpdates(ctx)
}

// shutdownAdmin waits for the answers to operators' requests. Its timeout is short, since
// the HTTP library also waits for the connections that browsers open in advance.
func (n *Node) shutdownAdmin(ctx context.Context) error {
	if n.admin == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, adminShutdownTimeout)
	defer cancel()
	if err := n.admin.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	// Logged only if connections were still open at the timeout.
	n.logLeaveStep("operators' connections are closed")
	return nil
}

// drainTimeout returns how long diverting callers and finishing the calls in flight may take
// together. It ends before the process is killed, which would cut calls off and skip the
// final announcement.
func (n *Node) drainTimeout() time.Duration {
	s := n.settings.Node
	if s.KillAfter == 0 {
		return s.DrainTimeout
	}
	return min(s.DrainTimeout, max(s.KillAfter-killMargin, s.KillAfter/2))
}
