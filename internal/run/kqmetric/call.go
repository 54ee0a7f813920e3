package kqmetric

import (
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

var (
	results = []kqcall.Result{kqcall.Answered, kqcall.NotRun, kqcall.Unknown}
	reasons = kqcall.Reasons()
)

func newGateCalls() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kumquatgw_gate_calls_total", Help: "Calls at this node's gate by how they ended and why.",
	}, []string{"result", "reason"})
}

// GateCallEnded counts the outcome of a call at this node's gate. A call that is retried
// has an outcome at several gates, but only one at the entry, which Ended counts.
func (m *Metrics) GateCallEnded(o kqcall.Outcome) {
	m.gateCalls.WithLabelValues(labelValue(o.Result, results), labelValue(o.Reason, reasons)).Inc()
}

// Ended counts the outcome of a call at this node's entry, from outside or from the local
// upstream.
func (m *Metrics) Ended(o kqcall.Outcome) {
	m.calls.WithLabelValues(labelValue(o.Result, results), labelValue(o.Reason, reasons)).Inc()
}

// Retried counts a retry by the reason of the attempt before it.
func (m *Metrics) Retried(r kqcall.Reason) { m.retries.WithLabelValues(labelValue(r, reasons)).Inc() }

// labelValue returns value if it is known, else "other". Results and reasons also
// come from other nodes, whose newer release may have values that this one lacks.
func labelValue[T ~string](value T, known []T) string {
	if slices.Contains(known, value) {
		return string(value)
	}
	return "other"
}
