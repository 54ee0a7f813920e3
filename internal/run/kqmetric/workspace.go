package kqmetric

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// namedWorkspaces is how many workspaces have series of their own: those with most refusals.
	// All others together have the name otherWorkspaces, which no workspace can have.
	namedWorkspaces = 10
	otherWorkspaces = "(other)"
	// maxWorkspaces bounds the workspaces that are counted one by one, since those of old
	// versions are kept.
	maxWorkspaces = 16 << 10
)

type (
	// workspaceMetrics holds the metrics of workspaces and their API keys.
	workspaceMetrics struct {
		peersAsked prometheus.Counter
		refusals   *workspaceRefusals
	}

	// workspaceRefusals collects the refused calls by workspace and reason, with a bounded number
	// of series. A workspace that enters or leaves the named ones takes its count with it, so
	// that only the sum over all workspaces never falls.
	workspaceRefusals struct {
		description *prometheus.Desc

		mu    sync.Mutex
		total map[kqname.Workspace]uint64
		count map[refusal]uint64
	}

	refusal struct {
		workspace kqname.Workspace
		reason    string
	}
)

func newWorkspaceMetrics() workspaceMetrics {
	return workspaceMetrics{
		peersAsked: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kumquatgw_unknown_key_inquiries_total", Help: "Times that this node asked peers for their newest version because of calls with unknown API keys.",
		}),
		refusals: &workspaceRefusals{
			description: prometheus.NewDesc("kumquatgw_workspace_refused_calls_total", "Calls of workspaces that this node's entry refused, by reason: the ten workspaces with most refusals, and all others together.", []string{"workspace", "reason"}, nil),
			total:       make(map[kqname.Workspace]uint64), count: make(map[refusal]uint64),
		},
	}
}

// PeersAsked implements kqfreshness.Counter.
func (m *Metrics) PeersAsked() { m.workspaces.peersAsked.Inc() }

// WorkspaceRefused counts a call of a workspace that was refused at this node's entry.
func (m *Metrics) WorkspaceRefused(w kqname.Workspace, r kqcall.Reason) {
	m.workspaces.refusals.add(w, labelValue(r, reasons))
}

func (w *workspaceRefusals) add(name kqname.Workspace, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.total[name]; !ok && len(w.total) >= maxWorkspaces {
		name = otherWorkspaces
	}
	w.total[name]++
	w.count[refusal{name, reason}]++
}

// RefusedByRate returns how many calls of a workspace this node has refused beyond its rate.
func (m *Metrics) RefusedByRate(w kqname.Workspace) uint64 {
	r := m.workspaces.refusals
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[refusal{w, string(kqcall.OverRate)}]
}

// Describe implements prometheus.Collector.
func (w *workspaceRefusals) Describe(c chan<- *prometheus.Desc) { c <- w.description }

// Collect implements prometheus.Collector.
func (w *workspaceRefusals) Collect(c chan<- prometheus.Metric) {
	w.mu.Lock()
	total, count := maps.Clone(w.total), maps.Clone(w.count)
	w.mu.Unlock()
	delete(total, otherWorkspaces)
	names := slices.SortedFunc(maps.Keys(total), func(a, b kqname.Workspace) int {
		return cmp.Or(cmp.Compare(total[b], total[a]), cmp.Compare(a, b))
	})
	named := names[:min(len(names), namedWorkspaces)]
	shown := make(map[refusal]uint64)
	for r, n := range count {
		if !slices.Contains(named, r.workspace) {
			r.workspace = otherWorkspaces
		}
		shown[r] += n
	}
	for r, n := range shown {
		c <- prometheus.MustNewConstMetric(w.description, prometheus.CounterValue, float64(n), string(r.workspace), r.reason)
	}
}
