package kqmetric

import (
	"github.com/prometheus/client_golang/prometheus"
)

// rateMetrics holds the metrics of workspaces' rates. The refusals of each workspace are among
// those of workspaceMetrics.
type rateMetrics struct {
	decisions *prometheus.CounterVec
	limited   *prometheus.GaugeVec
}

func newRateMetrics() rateMetrics {
	return rateMetrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatgw_rate_decisions_total", Help: "Calls of workspaces with a rate, by decision and what it rests on: the coordinator's answer, the grace after answers stop, or the node's own portion.",
		}, []string{"decision", "basis"}),
		limited: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "kumquatgw_limited_workspaces", Help: "Workspaces that exceed their rate, by where that is known: at this node or as their coordinator.",
		}, []string{"role"}),
	}
}

// RateDecided implements kqratelog.Counter.
func (m *Metrics) RateDecided(admitted bool, basis string) {
	decision := "admitted"
	if !admitted {
		decision = decisionRefused
	}
	m.rates.decisions.WithLabelValues(decision, basis).Inc()
}

// RateLimited implements kqratelog.Counter.
func (m *Metrics) RateLimited(coordinator bool, change int) {
	role := "node"
	if coordinator {
		role = "coordinator"
	}
	m.rates.limited.WithLabelValues(role).Add(float64(change))
}
