package kqexcess

import (
	"math"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// maxRatio is how many times its usual load a workspace may send before its calls are
	// in excess. In trials, others lost up to 0.055 more in a flood with 2, and more urgent
	// workspaces lost 0.051 to a class at 2.6 times its load with 1.3.
	maxRatio = 1.5

	// floodRatio is how many times its usual load and fair share a workspace sends in a
	// flood. Its bucket is then filled at once its usual load only, and holds one call.
	floodRatio         = 3
	demandTimeConstant = 2 * time.Second

	// timeConstant is the time constant of the mean that is the usual load.
	timeConstant = time.Minute

	// minAge is how long a workspace's load is observed before any of it is in excess. After
	// a restart of the gate, the first seconds do not show what is usual.
	minAge = 10 * time.Second

	// burst is the time in which a bucket fills, and minBurstCalls the least number of calls
	// that a full one holds: calls of a small workspace arrive unevenly.
	burst         = time.Second
	minBurstCalls = 2

	// largestDecay is about the number of calls for which a long call counts.
	largestDecay = 64

	// idleTimeout is how long a workspace without calls is remembered, and sweepInterval the
	// interval between removals.
	idleTimeout   = 2 * time.Minute
	sweepInterval = 10 * time.Second
)

type (
	// Detector observes the load of each workspace at one upstream. It is not safe for
	// concurrent use.
	Detector struct {
		meters    map[kqname.Workspace]*meter
		lastSweep time.Time
	}

	// meter holds the load of one workspace.
	meter struct {
		first, last time.Time
		// work is the expected work of the calls that were not in excess, in seconds,
		// decaying exponentially with timeConstant.
		work float64
		// largest is the expected work of the longest recent calls in seconds: it decreases
		// by 1/largestDecay per call.
		largest float64
		// demand is the expected work of all calls in seconds, decaying with
		// demandTimeConstant.
		demand float64
		// level is the content of the bucket in seconds of expected work.
		level float64
	}
)

// New returns a Detector without data.
func New() *Detector { return &Detector{meters: make(map[kqname.Workspace]*meter)} }

// Record counts a call with the given expected work at an upstream with the given number of
// slots, and reports whether it is in excess of the workspace's usual load.
func (d *Detector) Record(w kqname.Workspace, expected time.Duration, slots int, now time.Time) bool {
	d.sweep(now)
	m := d.meters[w]
	if m == nil {
		m = &meter{first: now, last: now, level: math.Inf(1)}
		d.meters[w] = m
	}
	elapsed, work := now.Sub(m.last).Seconds(), expected.Seconds()
	m.last = now
	m.work *= math.Exp(-elapsed / timeConstant.Seconds())
	m.demand = m.demand*math.Exp(-elapsed/demandTimeConstant.Seconds()) + work
	usual, fair := m.usual(now), float64(slots)/float64(len(d.meters))
	limit, calls := max(maxRatio*usual, fair), float64(minBurstCalls)
	if m.demand/demandTimeConstant.Seconds() > floodRatio*max(usual, fair) {
		limit, calls = max(usual, fair), 1
	}
	m.largest = max(m.largest*(1-1.0/largestDecay), work)
	m.level = min(m.level+elapsed*limit, max(limit*burst.Seconds(), calls*m.largest))
	if now.Sub(m.first) >= minAge && m.level < work {
		return true
	}
	m.level = max(m.level-work, 0)
	m.work += work
	return false
}

// usual returns the usual load in slots. The sum is corrected for the time before the first
// call.
func (m *meter) usual(now time.Time) float64 {
	age := max(now.Sub(m.first), minAge)
	return m.work / (timeConstant.Seconds() * -math.Expm1(-age.Seconds()/timeConstant.Seconds()))
}

// sweep removes workspaces that have sent no calls for idleTimeout.
func (d *Detector) sweep(now time.Time) {
	if now.Sub(d.lastSweep) < sweepInterval {
		return
	}
	d.lastSweep = now
	for w, m := range d.meters {
		if now.Sub(m.last) >= idleTimeout {
			delete(d.meters, w)
		}
	}
}
