package kqmetric

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	decisionSent    = "sent"
	decisionRefused = "refused"
)

// limitMetrics holds the metrics of local upstreams that name a limit.
type limitMetrics struct {
	limit *prometheus.GaugeVec
	calls *prometheus.CounterVec
}

func newLimitMetrics() limitMetrics {
	return limitMetrics{
		limit: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "kumquatgw_upstream_limit_per_second", Help: "Limit that the local upstream names, in calls a second; absent without one.",
		}, []string{"service", "version"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatgw_limited_calls_total", Help: "Calls for the local upstream while it names a limit, by decision.",
		}, []string{"decision"}),
	}
}

// LimitNamed implements kqconditionlog.Counter.
func (m *Metrics) LimitNamed(service kqname.Service, version kqname.UpstreamVersion, limit float64) {
	m.limits.limit.WithLabelValues(string(service), string(version)).Set(limit)
}

// LimitEnded implements kqconditionlog.Counter.
func (m *Metrics) LimitEnded(service kqname.Service, version kqname.UpstreamVersion) {
	m.limits.limit.DeleteLabelValues(string(service), string(version))
}

// LimitedCall implements kqconditionlog.Counter.
func (m *Metrics) LimitedCall(sent bool) {
	decision := decisionRefused
	if sent {
		decision = decisionSent
	}
	m.limits.calls.WithLabelValues(decision).Inc()
}
