package kqwork

import (
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// LongFactor is the multiple of the typical work from which on a route's calls are
	// long.
	LongFactor = 4

	// maxRoutes bounds the routes that are estimated separately. routeDivisor is the
	// inverse of a call's weight in its route's estimate.
	maxRoutes    = 256
	routeDivisor = 8
	// riseDivisor and fallDivisor are the inverse weights in the pace of a call that is
	// slower or faster than it. The pace rises fast, so that a single call shows that the
	// upstream has become much slower. It falls slowly, so that a few tiny calls do not
	// make an upstream look many times faster than it is.
	riseDivisor = 4
	fallDivisor = 16
	// defaultWork is the estimate for a route before any call has ended.
	defaultWork = 10 * time.Millisecond
	// otherRoutes is the key that all routes beyond maxRoutes share.
	otherRoutes = kqname.Route("")
)

// Estimator estimates the work of each route's calls. It is not safe for concurrent use.
type Estimator struct {
	routes map[kqname.Route]time.Duration
	// typical approximates the median: each call moves it by a bounded share of itself, so
	// that a few long calls do not raise it.
	typical time.Duration
	// pace is a weighted mean of the recent calls' work, without those that are slower than
	// it and of a long route.
	pace time.Duration
}

// New returns an Estimator without data.
func New() *Estimator { return &Estimator{routes: make(map[kqname.Route]time.Duration)} }

// Observe records how long a call of the route took at the upstream.
func (e *Estimator) Observe(r kqname.Route, took time.Duration) {
	took = max(took, time.Microsecond)
	if e.typical == 0 {
		e.typical = took
	}
	maxStep := max(e.typical/8, time.Microsecond)
	if took > e.typical {
		e.typical += min(maxStep, took-e.typical)
	} else {
		e.typical -= min(maxStep, e.typical-took)
	}
	old, ok := e.routes[r]
	if !ok {
		if len(e.routes) >= maxRoutes {
			r = otherRoutes
		}
		if old, ok = e.routes[r]; !ok {
			old = took
		}
	}
	e.routes[r] = old + (took-old)/routeDivisor
	if e.pace == 0 {
		e.pace = took
	}
	switch {
	case took < e.pace:
		e.pace -= (e.pace - took) / fallDivisor
	case !e.Long(r):
		e.pace += (took - e.pace) / riseDivisor
	}
}

// Pace returns the recent mean work of the upstream's short calls, or defaultWork before
// any call has ended.
func (e *Estimator) Pace() time.Duration {
	if e.pace == 0 {
		return defaultWork
	}
	return e.pace
}

// Expect returns the expected work of a call of the route. For a route without an estimate
// it is that of all routes beyond maxRoutes, or the typical work if there is none.
func (e *Estimator) Expect(r kqname.Route) time.Duration {
	if d, ok := e.routes[r]; ok {
		return d
	}
	if d, ok := e.routes[otherRoutes]; ok {
		return d
	}
	return e.Typical()
}

// Lookup returns the expected work of a call of the route, and false if none has ended or
// the route is beyond maxRoutes.
func (e *Estimator) Lookup(r kqname.Route) (time.Duration, bool) {
	d, ok := e.routes[r]
	return d, ok
}

// Long reports whether calls of the route take at least LongFactor times the typical work.
func (e *Estimator) Long(r kqname.Route) bool {
	return e.typical > 0 && e.Expect(r) >= LongFactor*e.typical
}

// Typical returns the approximate median work of a call, or defaultWork before any call has
// ended.
func (e *Estimator) Typical() time.Duration {
	if e.typical == 0 {
		return defaultWork
	}
	return e.typical
}
