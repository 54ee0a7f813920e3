package kqmetric

import "github.com/prometheus/client_golang/prometheus"

// workspaceMetrics holds the metrics of workspaces and their API keys.
type workspaceMetrics struct {
	peersAsked prometheus.Counter
}

func newWorkspaceMetrics() workspaceMetrics {
	return workspaceMetrics{
		peersAsked: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kumquatgw_unknown_key_inquiries_total", Help: "Times that this node asked peers for their newest version because of calls with unknown API keys.",
		}),
	}
}

// PeersAsked implements kqfreshness.Counter.
func (m *Metrics) PeersAsked() { m.workspaces.peersAsked.Inc() }
