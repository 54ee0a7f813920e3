package kqmetric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Security holds the metrics of certificates, operators and forged headers: refused
// connections and requests, reloads that failed, committed changes, calls from outside
// with internal headers, and the certificate's expiry.
type Security struct {
	peerRefused    prometheus.Counter
	reloadFailed   *prometheus.CounterVec
	adminRefused   *prometheus.CounterVec
	adminCommitted *prometheus.CounterVec
	forged         prometheus.Counter
}

// NewSecurity registers the security metrics. expires returns the expiry of the
// certificate in use, or the zero time without TLS.
func NewSecurity(registry *prometheus.Registry, expires func() time.Time) *Security {
	s := &Security{
		peerRefused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kumquatgw_peer_refused_total", Help: "Connections refused for a certificate that is not of this fleet.",
		}),
		reloadFailed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatgw_reload_failures_total", Help: "Files that changed and could not be taken in, by what they hold.",
		}, []string{"what"}),
		adminRefused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatgw_admin_refused_total", Help: "Operators' requests refused, by reason.",
		}, []string{"reason"}),
		adminCommitted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatgw_admin_changes_total", Help: "Operators' changes committed, by the way they came.",
		}, []string{"way"}),
		forged: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kumquatgw_forged_headers_total", Help: "Calls from outside that carried internal headers; these were removed.",
		}),
	}
	registry.MustRegister(s.peerRefused, s.reloadFailed, s.adminRefused, s.adminCommitted, s.forged,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "kumquatgw_certificate_expiry_timestamp_seconds", Help: "When the certificate in use lapses, in seconds since 1970; 0 without TLS.",
		}, func() float64 {
			if at := expires(); !at.IsZero() {
				return float64(at.Unix())
			}
			return 0
		}))
	return s
}

// PeerRefused counts a peer connection refused for its certificate.
func (s *Security) PeerRefused() { s.peerRefused.Inc() }

// ForgedHeaders counts a call from outside that carried internal headers.
func (s *Security) ForgedHeaders() { s.forged.Inc() }

// ReloadFailed counts a changed file, such as "certificate" or "tokens", that
// could not be loaded.
func (s *Security) ReloadFailed(what string) { s.reloadFailed.WithLabelValues(what).Inc() }

// AdminRefused counts an operator's request that was refused.
func (s *Security) AdminRefused(reason string) { s.adminRefused.WithLabelValues(reason).Inc() }

// AdminCommitted counts an operator's request whose change was committed, by it or by an
// earlier attempt; way is the interface that received it, "api" or "console".
func (s *Security) AdminCommitted(way string) { s.adminCommitted.WithLabelValues(way).Inc() }
