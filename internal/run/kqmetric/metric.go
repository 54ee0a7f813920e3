package kqmetric

import (
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Metrics are one node's. They are safe for concurrent use.
type Metrics struct {
	registry       *prometheus.Registry
	ended          *prometheus.CounterVec
	retried        *prometheus.CounterVec
	gated          *prometheus.CounterVec
	configRefused  *prometheus.CounterVec
	platformFailed prometheus.Counter
	budgetBound    *prometheus.CounterVec
	spreadDropped  prometheus.Counter
	leftOut        prometheus.Counter
	panics         *prometheus.CounterVec
	seconds        *prometheus.HistogramVec
	storeCalls     *prometheus.CounterVec
	storeMu        sync.Mutex
	storeCounts    map[string]uint64
	version        prometheus.Gauge
	since          atomic.Int64
	sent, received atomic.Uint64
}

// New returns metrics in a registry of their own.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatgw_calls_total", Help: "Calls by how they ended and why.",
		}, []string{"result", "reason"}),
		retried: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatgw_call_retries_total", Help: "Calls sent again, by the reason of the try before.",
		}, []string{"reason"}),
		configRefused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatgw_config_refused_total", Help: "Configuration versions refused, by reason.",
		}, []string{"reason"}),
		platformFailed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kumquatgw_platform_failures_total", Help: "Calls to the platform's service that failed.",
		}),
		budgetBound: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatgw_control_budget_bound_total", Help: "Times that a control budget held something back, by budget.",
		}, []string{"budget"}),
		spreadDropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kumquatgw_spread_dropped_total", Help: "Messages to all nodes that there was no room to pass on.",
		}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "kumquatgw_config_version", Help: "Configuration version in force on this node.",
		}),
	}
	m.gated = newGated()
	m.leftOut = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kumquatgw_log_lines_left_out_total", Help: "Log lines of calls that were over the rate for their reason.",
	})
	m.storeCounts = make(map[string]uint64)
	m.storeCalls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kumquatgw_store_calls_total", Help: "Calls to the platform's store by kind and status, 0 where no answer came.",
	}, []string{"call", "status"})
	m.seconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "kumquatgw_call_seconds", Help: "Time of calls by stage: call is the whole at the entry, queue the wait at the gate, upstream the upstream's.",
		Buckets: []float64{0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 10},
	}, []string{"stage"})
	m.panics = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kumquatgw_panics_total", Help: "Panics that were caught, by the part that panicked.",
	}, []string{"part"})
	m.registry.MustRegister(m.panics, m.leftOut, m.storeCalls, m.seconds)
	m.registry.MustRegister(m.ended, m.retried, m.gated, m.configRefused, m.platformFailed, m.budgetBound, m.spreadDropped, m.version,
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "kumquatgw_control_sent_bytes_total", Help: "Bytes of control traffic sent to peers.",
		}, func() float64 { return float64(m.sent.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "kumquatgw_control_received_bytes_total", Help: "Bytes of control traffic received from peers.",
		}, func() float64 { return float64(m.received.Load()) }),
	)
	return m
}

// Unwritten adds a counter of the log's lines that its output did not take.
func (m *Metrics) Unwritten(count func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "kumquatgw_log_lines_unwritten_total", Help: "Log lines that the standard output did not take: its reader stalls, or is gone.",
	}, func() float64 { return float64(count()) }))
}

// Registry returns the registry, to serve it or to add to it.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// ConfigRefused counts a configuration version that was not applied.
func (m *Metrics) ConfigRefused(reason string) { m.configRefused.WithLabelValues(reason).Inc() }

// PlatformFailed counts a call to the platform's service that failed.
func (m *Metrics) PlatformFailed() { m.platformFailed.Inc() }

// BudgetBound counts that a control budget ("send" or "memory") held something
// back.
func (m *Metrics) BudgetBound(budget string) { m.budgetBound.WithLabelValues(budget).Inc() }

// SpreadDropped counts a message to all nodes that could not be passed on.
func (m *Metrics) SpreadDropped() { m.spreadDropped.Inc() }

// StoreAnswered counts a call to the store; kinds and statuses are the adapter's,
// of which there are few.
func (m *Metrics) StoreAnswered(call string, status int) {
	text := strconv.Itoa(status)
	m.storeCalls.WithLabelValues(call, text).Inc()
	m.storeMu.Lock()
	defer m.storeMu.Unlock()
	m.storeCounts[call+" "+text]++
}

// StoreCalls returns the calls to the store since the start by kind and status.
func (m *Metrics) StoreCalls() map[string]uint64 {
	m.storeMu.Lock()
	defer m.storeMu.Unlock()
	return maps.Clone(m.storeCounts)
}

// Took notes the time of a call's stage: "call", "queue" or "upstream".
func (m *Metrics) Took(stage string, d time.Duration) {
	m.seconds.WithLabelValues(stage).Observe(d.Seconds())
}

// Panicked counts a panic in a part, of which there are few.
func (m *Metrics) Panicked(part string) { m.panics.WithLabelValues(part).Inc() }

// LeftOut counts a log line that was over the rate for its reason.
func (m *Metrics) LeftOut(string) { m.leftOut.Inc() }

// Version records the configuration version that has come into force.
func (m *Metrics) Version(v kqname.ConfigVersion) {
	m.version.Set(float64(v))
	m.since.Store(time.Now().UnixNano())
}

// Since returns when the version in force came into force, the zero time
// before the first.
func (m *Metrics) Since() time.Time {
	if at := m.since.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Sent implements kqpeer.Meter.
func (m *Metrics) Sent(bytes int) { m.sent.Add(uint64(max(bytes, 0))) }

// Received implements kqpeer.Meter.
func (m *Metrics) Received(bytes int) { m.received.Add(uint64(max(bytes, 0))) }

// ControlBytes returns the bytes of control traffic since the start.
func (m *Metrics) ControlBytes() (sent, received uint64) { return m.sent.Load(), m.received.Load() }
