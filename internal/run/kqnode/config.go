package kqnode

import (
	"context"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/config/kqreplica"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/internal/config/kqwatch"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqexchange"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqspread"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// joinConfig joins the configuration flow: receive, verify, resolve, stage and
// swap; and the membership beside it.
func (n *Node) joinConfig() {
	log := n.logger.Part("config")
	options := []kqreplica.Option{
		kqreplica.WithRefused(n.metrics.ConfigRefused),
		kqreplica.WithChanged(func(s *kqsnapshot.Snapshot) {
			n.metrics.Version(s.Version())
			n.table.Update(func(m *kqmember.Member) { m.Config = s.Version() })
			n.rollouts.adopt(s)
		}),
	}
	if own := n.settings.Node.Service; own != "" {
		options = append(options, kqreplica.WithService(own))
	}
	if n.settings.Config.Strategy == "direct" {
		options = append(options, kqreplica.WithWholeDocument())
	}
	n.replica = kqreplica.New(kqcommit.New(n.store), options...)
	n.watcher = kqwatch.New(n.store, func(ctx context.Context, root kqresource.Root) {
		if err := n.replica.Offer(ctx, root); err != nil {
			log.WithError(err).Warnf("Refused version %d.", root.Version)
		}
	}, func(err error) {
		n.metrics.PlatformFailed()
		log.WithError(err).Debug("Platform did not answer.")
	})
	seeds := make([]kqname.Address, 0, len(n.settings.Member.Seeds))
	for _, s := range n.settings.Member.Seeds {
		seeds = append(seeds, kqname.Address(s))
	}
	n.exchange = kqexchange.New(n.peers, n.client, n.table, seeds, n.settings.Member.Heartbeat)
	n.spreader = kqspread.New(n.peers, n.client, n.table)
}
