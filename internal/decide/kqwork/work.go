package kqwork

import (
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// LongFactor is how many times the typical call's work makes a long route.
	LongFactor = 4

	maxRoutes = 256
	step      = 8
	// risePart and fallPart are what the pace moves by towards a call that took longer
	// and shorter. It rises fast, so that one call of an upstream that became many
	// times slower shows; it falls slowly, so that a few calls with hardly any work
	// do not make an upstream look many times faster than it is.
	risePart = 4
	fallPart = 16
	// first is expected of a route before its first call ended.
	first = 10 * time.Millisecond
	other = kqname.Route("")
)

// Work learns routes' work. It is not safe for concurrent use.
type Work struct {
	routes map[kqname.Route]time.Duration
	// typical follows the median: it moves by a share of itself towards each
	// call, however far off that call was, so that a few long ones do not lift it.
	typical time.Duration
	// pace follows the calls of routes that are not long.
	pace time.Duration
}

// New returns a Work that has seen no call.
func New() *Work { return &Work{routes: make(map[kqname.Route]time.Duration)} }

// Learn takes in how long a call of the route took at the upstream.
func (w *Work) Learn(r kqname.Route, took time.Duration) {
	took = max(took, time.Microsecond)
	if w.typical == 0 {
		w.typical = took
	}
	shift := max(w.typical/8, time.Microsecond)
	if took > w.typical {
		w.typical += min(shift, took-w.typical)
	} else {
		w.typical -= min(shift, w.typical-took)
	}
	old, ok := w.routes[r]
	if !ok {
		if len(w.routes) >= maxRoutes {
			r = other
		}
		if old, ok = w.routes[r]; !ok {
			old = took
		}
	}
	w.routes[r] = old + (took-old)/step
	if w.pace == 0 {
		w.pace = took
	}
	switch {
	case took < w.pace:
		w.pace -= (w.pace - took) / fallPart
	case !w.Long(r):
		w.pace += (took - w.pace) / risePart
	}
}

// Pace returns what the upstream's short calls took lately.
func (w *Work) Pace() time.Duration {
	if w.pace == 0 {
		return first
	}
	return w.pace
}

// Expect returns how long a call of the route is expected to take.
func (w *Work) Expect(r kqname.Route) time.Duration {
	if d, ok := w.routes[r]; ok {
		return d
	}
	if d, ok := w.routes[other]; ok {
		return d
	}
	return w.Typical()
}

// Known returns how long a call of the route is expected to take, and false where none has
// ended.
func (w *Work) Known(r kqname.Route) (time.Duration, bool) {
	d, ok := w.routes[r]
	return d, ok
}

// Long reports whether calls of the route are long jobs.
func (w *Work) Long(r kqname.Route) bool {
	return w.typical > 0 && w.Expect(r) >= LongFactor*w.typical
}

// Typical returns the typical call's work.
func (w *Work) Typical() time.Duration {
	if w.typical == 0 {
		return first
	}
	return w.typical
}
