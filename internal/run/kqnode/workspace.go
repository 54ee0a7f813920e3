package kqnode

import (
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqentry"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/config/kqfollower"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqfreshness"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/run/kqkeylog"
)

// askedPeers implements kqfreshness.Fleet by the node's table.
type askedPeers struct{ node *Node }

// Watchers returns the members that read the store for the others.
func (p askedPeers) Watchers() []kqmember.Member {
	members := p.node.table.Members()
	if p.node.distribution.follower != nil {
		return kqfollower.WatchersOf(members)
	}
	return slices.DeleteFunc(slices.Clone(members), func(m kqmember.Member) bool { return !m.Reader })
}

// Members returns all members.
func (p askedPeers) Members() []kqmember.Member { return p.node.table.Members() }

// IsAlone reports whether the node has never known another node and its store answers.
func (p askedPeers) IsAlone() bool {
	return !p.node.hadPeer.Load() && !p.node.storeUnavailable.Load()
}

// workspaceOptions returns the options that make the node's gate and entry check API keys
// against the newest version.
func (n *Node) workspaceOptions() ([]kqgate.Option, []kqentry.Option) {
	n.keyLog = kqkeylog.New(n.logger.Part("call"))
	freshness := kqfreshness.New(n.peers, n.client, n.settings.Node.Name, askedPeers{n}, n.distribution.distributor, n.Version, n.metrics, n.supervisor)
	return []kqgate.Option{kqgate.WithRevocation(n.isRevoked)},
		[]kqentry.Option{kqentry.WithFreshness(freshness), kqentry.WithRevocation(n.isRevoked)}
}

// isRevoked reports whether the version in force, if it is at least the one by which the call's
// entry accepted its API key, lacks the key. Nested calls have none.
func (n *Node) isRevoked(c *kqcall.Call) bool {
	if c.Workspace == "" || c.ConfigVersion == 0 {
		return false
	}
	s := n.replica.Current()
	if s.Version() < c.ConfigVersion || !s.HasWorkspaces() || s.HoldsKey(c.Workspace, kqsnapshot.KeyID(c.KeyID)) {
		return false
	}
	n.keyLog.Refused(c, time.Now())
	return true
}

// recordPeer records that the node is not the only one.
func (n *Node) recordPeer(m kqmember.Member) {
	if m.Node != n.settings.Node.Name {
		n.hadPeer.Store(true)
	}
}
