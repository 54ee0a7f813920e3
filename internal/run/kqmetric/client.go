package kqmetric

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/kumquatgw/kumquatgw/internal/base/kqmemory"
	"github.com/kumquatgw/kumquatgw/internal/call/kqexchange"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqreclaim"
)

// clientMetrics holds the metrics of the memory and the connections of a node's clients.
type clientMetrics struct {
	reclaimed, refused, unanswered *prometheus.CounterVec
}

func newClientMetrics() clientMetrics {
	return clientMetrics{
		reclaimed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatgw_clients_reclaimed_total", Help: "Clients that gave way while memory or connections were short, or that left a response unread, by what they were doing.",
		}, []string{"state"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatgw_connections_refused_total", Help: "Connections that there was no room for, by listener.",
		}, []string{"listener"}),
		unanswered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatgw_requests_unanswered_total", Help: "Connections that were closed with a request of whose response nothing had been written, by listener and by what they were doing.",
		}, []string{"listener", "phase"}),
	}
}

// RequestUnanswered counts a connection that this node closed with an unanswered request.
func (m *Metrics) RequestUnanswered(listener string, p kqexchange.Phase) {
	m.clients.unanswered.WithLabelValues(listener, p.String()).Inc()
}

// ClientReclaimed counts a client that gave way.
func (m *Metrics) ClientReclaimed(s kqreclaim.State) {
	m.clients.reclaimed.WithLabelValues(s.String()).Inc()
}

// ConnectionRefused counts a connection that there was no room for.
func (m *Metrics) ConnectionRefused(listener string) {
	m.clients.refused.WithLabelValues(listener).Inc()
}

// RegisterAccount exports what the clients use of an account.
func (m *Metrics) RegisterAccount(a *kqmemory.Account) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "kumquatgw_client_connections", Help: "Open connections of clients.",
	}, func() float64 { return float64(a.Open()) }))
	for _, u := range kqmemory.Uses() {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "kumquatgw_client_memory_bytes", Help: "Memory that is reserved for clients, by use.", ConstLabels: prometheus.Labels{"use": u.String()},
		}, func() float64 { return float64(a.Used(u)) }))
	}
}
