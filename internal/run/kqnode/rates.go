package kqnode

import (
	"context"

	"github.com/kumquatgw/kumquatgw/internal/call/kqentry"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrates"
	"github.com/kumquatgw/kumquatgw/internal/run/kqratelog"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

// WorkspaceUse is a workspace's use of its rate over all nodes, in calls a second. Refused is the
// number of calls beyond the rate that this node has refused since it started.
type WorkspaceUse struct {
	kqrates.Use
	Refused uint64
}

// ratesOption creates the rates of workspaces and returns the option that makes the node's entry
// use them.
func (n *Node) ratesOption() kqentry.Option {
	n.rates = kqrates.NewService(n.peers, n.client, kqrates.Config{
		Table: n.table, Workspaces: func() []kqdocument.Workspace { return n.replica.Current().Workspaces() },
		Observer: kqratelog.New(n.logger.Part("rates"), n.metrics), Random: globalRandom{},
		ExpectedNodes: n.settings.Config.ExpectedNodes,
	})
	return kqentry.WithRates(n.rates.Rates())
}

// WorkspaceUse returns the use of each workspace that has a rate, sorted by name. It asks the
// coordinators of the rates, for a second at most.
func (n *Node) WorkspaceUse() []WorkspaceUse {
	var list []WorkspaceUse
	for _, u := range n.rates.Use(context.Background()) {
		list = append(list, WorkspaceUse{Use: u, Refused: n.metrics.RefusedByRate(u.Workspace)})
	}
	return list
}
