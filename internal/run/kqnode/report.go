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
	"github.com/kumquatgw/kumquatgw/internal/peer/kqpeer"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	reportMethod = "admin.report"
	reportPrefix = "kumquatgw_"
)

var (
	// ErrNoMember tells that the node knows no member of that name.
	ErrNoMember = errors.New("no such member")

	// reported are the counters that a report holds.
	reported = []string{
		"kumquatgw_calls_total", "kumquatgw_gate_calls_total", "kumquatgw_config_refused_total", "kumquatgw_admin_refused_total",
		"kumquatgw_peer_refused_total", "kumquatgw_reload_failures_total", "kumquatgw_platform_failures_total",
	}
)

type reportRequest struct{}

// joinReport answers peers whose operators look at this node.
func (n *Node) joinReport() {
	kqpeer.Handle(n.peers, reportMethod, func(context.Context, kqname.Node, reportRequest) (kqview.Report, error) {
		return n.report()
	})
}

// Report returns a member's report, asked of that member.
func (n *Node) Report(ctx context.Context, node kqname.Node) (kqview.Report, error) {
	if node == n.settings.Node.Name {
		return n.report()
	}
	for _, m := range n.table.Members() {
		if m.Node == node {
			return kqpeer.Call[reportRequest, kqview.Report](ctx, n.client, m.Control, reportMethod, reportRequest{})
		}
	}
	return kqview.Report{}, fmt.Errorf("report of %s: %w", node, ErrNoMember)
}

func (n *Node) report() (kqview.Report, error) {
	r := kqview.Report{
		Node: n.settings.Node.Name, Version: n.Version(), Since: n.metrics.Since(), Started: n.started, Ready: n.Ready(),
	}
	families, err := n.metrics.Registry().Gather()
	if err != nil {
		return r, fmt.Errorf("report: %w", err)
	}
	for _, f := range families {
		if !slices.Contains(reported, f.GetName()) {
			continue
		}
		for _, m := range f.GetMetric() {
			if c, ok := countOf(f.GetName(), m); ok {
				r.Counts = append(r.Counts, c)
			}
		}
	}
	slices.SortFunc(r.Counts, func(a, b kqview.Count) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Reason, b.Reason))
	})
	return r, nil
}

// countOf passes over counters at 0 and calls that were answered.
func countOf(name string, m *dto.Metric) (kqview.Count, bool) {
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
