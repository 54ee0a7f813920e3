package kqmetric

import (
	"cmp"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// shownWorkspaces is the number of workspaces with metrics of their own.
	shownWorkspaces = 10
	// maxRefusedWorkspaces bounds the workspaces whose refusals are counted one by one. A
	// document has at most 20,000.
	maxRefusedWorkspaces = 20000
)

// rateMetrics holds the metrics of workspaces' rates. It implements prometheus.Collector for the
// refusals by workspace: the ten with most have a label, and the rest is one sum.
type rateMetrics struct {
	calls   *prometheus.CounterVec
	limited *prometheus.GaugeVec

	description *prometheus.Desc
	mu          sync.Mutex
	refused     map[kqname.Workspace]uint64
}

func newRateMetrics() *rateMetrics {
	return &rateMetrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatgw_rate_decisions_total", Help: "Calls of workspaces with a rate, by decision and what it rests on: the coordinator's answer, the grace after answers stop, or the node's own portion.",
		}, []string{"decision", "basis"}),
		limited: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "kumquatgw_limited_workspaces", Help: "Workspaces that exceed their rate, by where that is known: at this node or as their coordinator.",
		}, []string{"role"}),
		description: prometheus.NewDesc("kumquatgw_over_rate_calls", "Calls refused beyond the rate since the start, of the ten workspaces with most at this node and of all others.", []string{"workspace"}, nil),
		refused:     make(map[kqname.Workspace]uint64),
	}
}

// RateDecided implements kqratelog.Counter.
func (m *Metrics) RateDecided(w kqname.Workspace, admitted bool, basis string) {
	decision := "admitted"
	if !admitted {
		decision = decisionRefused
		m.rates.addRefused(w)
	}
	m.rates.calls.WithLabelValues(decision, basis).Inc()
}

// RateLimited implements kqratelog.Counter.
func (m *Metrics) RateLimited(coordinator bool, change int) {
	role := "node"
	if coordinator {
		role = "coordinator"
	}
	m.rates.limited.WithLabelValues(role).Add(float64(change))
}

// RefusedByRate returns how many calls of a workspace this node has refused beyond its rate.
func (m *Metrics) RefusedByRate(w kqname.Workspace) uint64 {
	m.rates.mu.Lock()
	defer m.rates.mu.Unlock()
	return m.rates.refused[w]
}

func (r *rateMetrics) addRefused(w kqname.Workspace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.refused[w]; !ok && len(r.refused) >= maxRefusedWorkspaces {
		w = otherWorkspaces
	}
	r.refused[w]++
}

// Describe implements prometheus.Collector.
func (r *rateMetrics) Describe(list chan<- *prometheus.Desc) { list <- r.description }

// Collect implements prometheus.Collector.
func (r *rateMetrics) Collect(list chan<- prometheus.Metric) {
	type count struct {
		workspace kqname.Workspace
		calls     uint64
	}
	r.mu.Lock()
	counts := make([]count, 0, len(r.refused))
	others := uint64(0)
	for w, n := range r.refused {
		if w == otherWorkspaces {
			others += n
		} else {
			counts = append(counts, count{w, n})
		}
	}
	r.mu.Unlock()
	slices.SortFunc(counts, func(a, b count) int {
		return cmp.Or(cmp.Compare(b.calls, a.calls), cmp.Compare(a.workspace, b.workspace))
	})
	for i, c := range counts {
		if i >= shownWorkspaces {
			others += c.calls
			continue
		}
		list <- prometheus.MustNewConstMetric(r.description, prometheus.GaugeValue, float64(c.calls), string(c.workspace))
	}
	if others > 0 {
		list <- prometheus.MustNewConstMetric(r.description, prometheus.GaugeValue, float64(others), otherWorkspaces)
	}
}
