package kqnode

import (
	"context"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqentry"
	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqquarantine"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqsuspicion"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsuspicionlog"
)

// suspicionOptions creates the node's suspicions, unless the settings switch them off, and
// returns the options that make its entry and gate use them.
func (n *Node) suspicionOptions() ([]kqgate.Option, []kqentry.Option) {
	if !n.settings.Call.Quarantine {
		return nil, nil
	}
	var options []kqsuspicion.Option
	if n.initialState != nil {
		options = append(options, kqsuspicion.WithStore(n.store, n.initialState))
	}
	log := kqsuspicionlog.New(n.logger.Part("quarantine"), n.metrics)
	n.suspicions = kqsuspicion.New(n.peers, n.client, n.broadcaster, n.table, log, n.settings.Call.QuarantineFor, options...)
	return []kqgate.Option{kqgate.WithQuarantine(n.settings.Node.Name, n.suspicions)}, []kqentry.Option{kqentry.WithQuarantine(n.suspicions)}
}

func (n *Node) runSuspicions(ctx context.Context, supervise func(part string, f func())) {
	if n.suspicions == nil {
		return
	}
	supervise("suspicion", func() { n.suspicions.Run(ctx) })
	supervise("suspicion_keeping", func() { n.suspicions.RunKeeping(ctx) })
	supervise("suspicion_learning", func() {
		n.suspicions.Learn(ctx)
		n.suspicions.Compare(ctx)
	})
}

// suspicionsLearned reports whether the node knows of the requests that its peers refuse, or
// has waited long enough to.
func (n *Node) suspicionsLearned(now time.Time) bool {
	return n.suspicions == nil || n.suspicions.Learned() || now.Sub(n.started) >= peerDiscoveryTimeout
}

// Suspects returns the requests under which upstreams ended, as far as this node knows.
func (n *Node) Suspects() []kqquarantine.Suspect {
	if n.suspicions == nil {
		return nil
	}
	return n.suspicions.Suspects(time.Now())
}

// ClearSuspect makes all nodes send a request again, and reports whether this node had suspected it.
func (n *Node) ClearSuspect(r kqfingerprint.Fingerprint) bool {
	return n.suspicions != nil && n.suspicions.Clear(r, time.Now())
}
