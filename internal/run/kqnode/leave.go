package kqnode

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
)

// leave lets callers go elsewhere first, and the local upstream be used meanwhile:
// it is well, and out of reach while its node is away. Then it tells the others, so
// that they stop sending, and waits for the calls in flight. The other way round,
// calls would meet a closed gate.
func (n *Node) leave() error {
	n.leaving.Store(true)
	n.note(logrus.Fields{"event": "leaving", "step": "begun", "within_ms": n.drainTimeout().Milliseconds()}, "Leaving.")
	ctx, cancel := context.WithTimeout(context.Background(), n.drainTimeout())
	defer cancel()
	// What panics on the way must not keep the calls from being finished.
	n.keeper.Try("leave", func() { n.farewell(ctx) })
	var err error
	n.keeper.Try("leave", func() { err = n.leaveCalls(ctx) })
	n.step("no calls are taken")
	n.keeper.Try("leave", n.goodbye)
	n.keeper.Try("leave", func() { n.distribution.reader.Close(ctx) })
	return errors.Join(err, n.leaveAdmin(ctx))
}

// farewell lets callers go elsewhere, and then tells the others.
func (n *Node) farewell(ctx context.Context) {
	n.entry.Leave()
	n.deserted(ctx)
	n.entry.Refuse()
	n.step("callers have gone, or had the time to")
	n.table.Update(func(m *kqmember.Member) { m.State = kqmember.Leaving })
	n.exchange.Announce(ctx)
	n.rollouts.leave(ctx)
	n.step("the others know")
}

// goodbye spares the others the suspicion. The calls may have used up the time for the
// leave; the others must be told all the same.
func (n *Node) goodbye() {
	ctx, cancel := context.WithTimeout(context.Background(), goodbyeFor)
	defer cancel()
	n.table.Update(func(m *kqmember.Member) { m.State = kqmember.Dead })
	n.exchange.Announce(ctx)
}

// leaveAdmin answers what operators have asked. Their browsers open connections ahead,
// which the library waits for: these are not worth the whole time.
func (n *Node) leaveAdmin(ctx context.Context) error {
	if n.admin == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, operatorsFor)
	defer cancel()
	if err := n.admin.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	n.step("operators' connections are closed")
	return nil
}

// drainTimeout is how long calls in flight may take at shutdown. A process that
// is killed meanwhile would cut them and say no goodbye.
func (n *Node) drainTimeout() time.Duration {
	s := n.settings.Node
	if s.KillAfter == 0 {
		return s.DrainTimeout
	}
	return min(s.DrainTimeout, max(s.KillAfter-stopMargin, s.KillAfter/2))
}
