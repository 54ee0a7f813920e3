package kqnode

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	dto "github.com/prometheus/client_model/go"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqview"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	reportMethod = "admin.report"
	reportPrefix = "kumquatgw_"
)

var (
	// ErrUnknownMember is returned for a node name that no known member has.
	ErrUnknownMember = errors.New("no such member")

	// reportedCounters are the counters included in a report.
	reportedCounters = []string{
		"kumquatgw_calls_total", "kumquatgw_gate_calls_total", "kumquatgw_config_refused_total", "kumquatgw_admin_refused_total",
		"kumquatgw_peer_refused_total", "kumquatgw_reload_failures_total", "kumquatgw_platform_failures_total",
	}
)

type reportRequest struct{}

// handleReports serves this node's report to peers whose operators request it.
func (n *Node) handleReports() {
	kqrpc.Handle(n.peers, reportMethod, func(context.Context, kqname.Node, reportRequest) (kqview.Report, error) {
		return n.ownReport()
	})
}

// Report returns a member's report, fetched from that member.
func (n *Node) Report(ctx context.Context, node kqname.Node) (kqview.Report, error) {
	if node == n.settings.Node.Name {
		return n.ownReport()
	}
	for _, m := range n.table.Members() {
		if m.Node == node {
			return kqrpc.Call[reportRequest, kqview.Report](ctx, n.client, m.Control, reportMethod, reportRequest{})
		}
	}
	return kqview.Report{}, fmt.Errorf("report of %s: %w", node, ErrUnknownMember)
}

func (n *Node) ownReport() (kqview.Report, error) {
	r := kqview.Report{
		Node: n.settings.Node.Name, Version: n.Version(), Since: n.metrics.LastApplied(), Started: n.started, Ready: n.Ready(),
	}
	families, err := n.metrics.Registry().Gather()
	if err != nil {
		return r, fmt.Errorf("gather counters: %w", err)
	}
	for _, f := range families {
		if !slices.Contains(reportedCounters, f.GetName()) {
			continue
		}
		for _, m := range f.GetMetric() {
			if c, ok := reportedCount(f.GetName(), m); ok {
				r.Counts = append(r.Counts, c)
			}
		}
	}
	slices.SortFunc(r.Counts, func(a, b kqview.Count) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Reason, b.Reason))
	})
	return r, nil
}

// reportedCount converts a counter for a report. It returns false for counters at 0 and
// for answered calls.
func reportedCount(name string, m *dto.Metric) (kqview.Count, bool) {
	var labels []string
	for _, l := range m.GetLabel() {
		if l.GetValue() == "answered" {
			return kqview.Count{}, false
		}
		if l.GetValue() != "" {
			labels = append(labels, l.GetValue())
		}
	}
	value := uint64(m.GetCounter().GetValue())
	name = strings.TrimSuffix(strings.TrimPrefix(name, reportPrefix), "_total")
	return kqview.Count{Name: name, Reason: strings.Join(labels, " "), Value: value}, value > 0
}
