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

func newGated() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kumquatgw_gate_calls_total", Help: "Calls at this node's gate by how they ended and why.",
	}, []string{"result", "reason"})
}

// Gated counts how a call ended at this node's gate. One call may end at
// several gates before its caller is told its end, which Ended counts.
func (m *Metrics) Gated(o kqcall.Outcome) {
	m.gated.WithLabelValues(bounded(o.Result, results), bounded(o.Reason, reasons)).Inc()
}

// Ended counts a call's end.
func (m *Metrics) Ended(o kqcall.Outcome) {
	m.ended.WithLabelValues(bounded(o.Result, results), bounded(o.Reason, reasons)).Inc()
}

// Retried counts a call that is sent again.
func (m *Metrics) Retried(r kqcall.Reason) { m.retried.WithLabelValues(bounded(r, reasons)).Inc() }

// bounded returns a label's value if it is known. Results and reasons come from
// other nodes too, whose release may know more of them.
func bounded[T ~string](value T, known []T) string {
	if slices.Contains(known, value) {
		return string(value)
	}
	return "other"
}
