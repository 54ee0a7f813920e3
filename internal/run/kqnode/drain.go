package kqnode

import (
	"context"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqquiesce"
)

// settleFor is how long a connection takes at most from its first packet to
// its being accepted and its call's being begun.
const settleFor = 100 * time.Millisecond

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
