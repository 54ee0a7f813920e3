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

// Metrics holds the metrics of one node. It is safe for concurrent use.
type Metrics struct {
	registry                 *prometheus.Registry
	calls                    *prometheus.CounterVec
	retries                  *prometheus.CounterVec
	gateCalls                *prometheus.CounterVec
	configRefused            *prometheus.CounterVec
	configLag                prometheus.Histogram
	platformFailed           prometheus.Counter
	budgetExceeded           *prometheus.CounterVec
	broadcastDropped         prometheus.Counter
	suppressedLines          prometheus.Counter
	panics                   *prometheus.CounterVec
	stageSeconds             *prometheus.HistogramVec
	storeCalls               *prometheus.CounterVec
	storeMu                  sync.Mutex
	storeCounts              map[string]uint64
	version                  prometheus.Gauge
	evacuated                prometheus.Gauge
	endedUnderCalls          prometheus.Counter
	suspectedRequests        *prometheus.CounterVec
	suspicionsDropped        prometheus.Counter
	departures               *prometheus.CounterVec
	limits                   limitMetrics
	workspaces               workspaceMetrics
	rates                    rateMetrics
	clients                  clientMetrics
	lastApplied              atomic.Int64
	sentBytes, receivedBytes atomic.Uint64
}

// New returns the metrics in a new registry.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatgw_calls_total", Help: "Calls by how they ended and why.",
		}, []string{"result", "reason"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatgw_call_retries_total", Help: "Calls sent again, by the reason of the try before.",
		}, []string{"reason"}),
		configRefused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatgw_config_refused_total", Help: "Configuration versions refused, by reason.",
		}, []string{"reason"}),
		platformFailed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kumquatgw_platform_failures_total", Help: "Calls to the platform's service that failed.",
		}),
		budgetExceeded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatgw_control_budget_bound_total", Help: "Times that a control budget held something back, by budget.",
		}, []string{"budget"}),
		broadcastDropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kumquatgw_spread_dropped_total", Help: "Messages to all nodes that there was no room to pass on.",
		}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "kumquatgw_config_version", Help: "Configuration version in force on this node.",
		}),
	}
	m.configLag = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "kumquatgw_config_lag_seconds", Help: "Time that this node was behind a newer version before one came into force.",
		Buckets: []float64{0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16},
	})
	m.evacuated = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "kumquatgw_evacuated_domains", Help: "Failure domains whose upstreams this node sends no calls to.",
	})
	m.endedUnderCalls = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kumquatgw_calls_upstream_ended_total", Help: "Calls whose upstream, beside this node, ended while it ran them.",
	})
	m.suspectedRequests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kumquatgw_suspected_requests_total", Help: "Requests under which upstreams ended, by what became of them on this node.",
	}, []string{"event"})
	m.suspicionsDropped = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kumquatgw_suspicions_dropped_total", Help: "Ends of upstreams under requests that peers were not told of, because there were too many.",
	})
	m.departures = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kumquatgw_departures_total", Help: "Departures of the local upstream that were acknowledged, by who held them then: store, peers or none.",
	}, []string{"held_by"})
	m.gateCalls, m.limits, m.workspaces, m.rates, m.clients = newGateCalls(), newLimitMetrics(), newWorkspaceMetrics(), newRateMetrics(), newClientMetrics()
	m.suppressedLines = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kumquatgw_log_lines_left_out_total", Help: "Log lines of calls that were over the rate for their reason.",
	})
	m.storeCounts = make(map[string]uint64)
	m.storeCalls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kumquatgw_store_calls_total", Help: "Calls to the platform's store by kind and status, 0 where no answer came.",
	}, []string{"call", "status"})
	m.stageSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "kumquatgw_call_seconds", Help: "Time of calls by stage: call is the whole at the entry, queue the wait at the gate, upstream the upstream's.",
		Buckets: []float64{0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 10},
	}, []string{"stage"})
	m.panics = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kumquatgw_panics_total", Help: "Panics that were caught, by the part that panicked.",
	}, []string{"part"})
	m.registry.MustRegister(m.clients.reclaimed, m.clients.refused, m.clients.unanswered, m.rates.decisions, m.rates.limited, m.workspaces.peersAsked, m.workspaces.refusals, m.limits.limit, m.limits.calls, m.evacuated, m.endedUnderCalls, m.suspectedRequests, m.suspicionsDropped, m.departures, m.panics, m.suppressedLines, m.storeCalls, m.stageSeconds)
	m.registry.MustRegister(m.calls, m.retries, m.gateCalls, m.configRefused, m.configLag, m.platformFailed, m.budgetExceeded, m.broadcastDropped, m.version,
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "kumquatgw_control_sent_bytes_total", Help: "Bytes of control traffic sent to peers.",
		}, func() float64 { return float64(m.sentBytes.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "kumquatgw_control_received_bytes_total", Help: "Bytes of control traffic received from peers.",
		}, func() float64 { return float64(m.receivedBytes.Load()) }),
	)
	return m
}

// RegisterUnwrittenLines registers a counter of the log lines that the output did not take;
// count returns their number since the start.
func (m *Metrics) RegisterUnwrittenLines(count func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "kumquatgw_log_lines_unwritten_total", Help: "Log lines that the standard output did not take: its reader stalls, or is gone.",
	}, func() float64 { return float64(count()) }))
}

// Registry returns the registry, to serve it or to register further metrics.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// ConfigLagged records how long the node was behind a newer version.
func (m *Metrics) ConfigLagged(d time.Duration) { m.configLag.Observe(d.Seconds()) }

// ConfigRefused counts a configuration version that was not applied.
func (m *Metrics) ConfigRefused(reason string) { m.configRefused.WithLabelValues(reason).Inc() }

// PlatformFailed counts a call to the platform's service that failed.
func (m *Metrics) PlatformFailed() { m.platformFailed.Inc() }

// BudgetExceeded counts one time that a control budget was exceeded: "send" delayed
// bulk traffic, or "memory" evicted a host's configuration or cut a fetch of all objects
// short.
func (m *Metrics) BudgetExceeded(budget string) { m.budgetExceeded.WithLabelValues(budget).Inc() }

// BroadcastDropped counts a message to peers that was dropped: a broadcast that did not
// fit into the forwarding queue, or a direct message to a peer to which the previous one
// was still in flight.
func (m *Metrics) BroadcastDropped() { m.broadcastDropped.Inc() }

// CountStoreCall counts a call to the store by kind and status; both come from the
// adapter's small fixed sets. Status 0 means that no answer came.
func (m *Metrics) CountStoreCall(call string, status int) {
	text := strconv.Itoa(status)
	m.storeCalls.WithLabelValues(call, text).Inc()
	m.storeMu.Lock()
	defer m.storeMu.Unlock()
	m.storeCounts[call+" "+text]++
}

// StoreCalls returns the number of calls to the store since the start, by
// "kind status".
func (m *Metrics) StoreCalls() map[string]uint64 {
	m.storeMu.Lock()
	defer m.storeMu.Unlock()
	return maps.Clone(m.storeCounts)
}

// Took records the duration of one stage of a call: "call", "queue" or
// "upstream".
func (m *Metrics) Took(stage string, d time.Duration) {
	m.stageSeconds.WithLabelValues(stage).Observe(d.Seconds())
}

// Panicked counts a recovered panic by the part of the node; there are few parts.
func (m *Metrics) Panicked(part string) { m.panics.WithLabelValues(part).Inc() }

// LineSuppressed counts a log line that exceeded the rate limit for its reason.
func (m *Metrics) LineSuppressed(string) { m.suppressedLines.Inc() }

// SetVersion records the version of the configuration snapshot that was applied, and the
// time. A snapshot may differ from the previous one only in the hosts that it holds.
func (m *Metrics) SetVersion(v kqname.ConfigVersion) {
	m.version.Set(float64(v))
	m.lastApplied.Store(time.Now().UnixNano())
}

// SetEvacuated records the number of evacuated failure domains.
func (m *Metrics) SetEvacuated(domains int) { m.evacuated.Set(float64(domains)) }

// LastApplied returns when a snapshot was last applied, or the zero time before the first
// one.
func (m *Metrics) LastApplied() time.Time {
	if at := m.lastApplied.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// EndedUnderCall implements kqconditionlog.Counter.
func (m *Metrics) EndedUnderCall() { m.endedUnderCalls.Inc() }

// RequestSuspected implements kqsuspicionlog.Counter.
func (m *Metrics) RequestSuspected(event string) { m.suspectedRequests.WithLabelValues(event).Inc() }

// SuspicionDropped implements kqsuspicionlog.Counter.
func (m *Metrics) SuspicionDropped() { m.suspicionsDropped.Inc() }

// DepartureAcknowledged counts a departure that was acknowledged to its upstream. heldBy is
// one of the holders of kqdeparture.
func (m *Metrics) DepartureAcknowledged(heldBy string) { m.departures.WithLabelValues(heldBy).Inc() }

// Sent implements kqrpc.Meter.
func (m *Metrics) Sent(bytes int) { m.sentBytes.Add(uint64(max(bytes, 0))) }

// Received implements kqrpc.Meter.
func (m *Metrics) Received(bytes int) { m.receivedBytes.Add(uint64(max(bytes, 0))) }

// ControlBytes returns the control traffic in bytes since the start.
func (m *Metrics) ControlBytes() (sentBytes, receivedBytes uint64) {
	return m.sentBytes.Load(), m.receivedBytes.Load()
}
