// Package kqshare picks which calls go to a rollout's new version, and to
// which of its upstreams.
//
// A bad version may only show under load, while it must not get over a small
// share. Spread thinly over all new upstreams, a share of 5% leaves each of
// them at a twentieth of its load. So the small share goes to few upstreams,
// each at the load that an old one has; where even one is too many for that,
// as in a fleet of six, it goes there in bursts of part of each second.
package kqshare

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// period is the time in which the share is kept: within any whole second the
// new version gets no more than it.
const period = time.Second

type (
	// Share is how a rollout's calls are split at one step.
	Share struct {
		From, To kqname.UpstreamVersion
		// Of is the share of traffic for the new version, from 0 to 1.
		Of float64
		// Small tells that the share is to go to few upstreams.
		Small bool
	}

	// Random gives a number in [0, 1).
	Random interface {
		Float64() float64
	}
)

// Split returns where one call may go at the time now.
func (s Share) Split(now time.Time, all []kqmember.Candidate, random Random) kqpick.Target {
	old := kqpick.Target{Version: s.From}
	if s.Of <= 0 {
		return old
	}
	if s.Of >= 1 {
		return kqpick.Target{Version: s.To}
	}
	few, within, open := s.burst(now, all)
	if !open || random.Float64() >= within {
		return old
	}
	return kqpick.Target{Version: s.To, Nodes: few, Fallback: s.From}
}

// burst returns the upstreams for the small share, the part of calls that go
// there while a burst is on, and whether one is on.
func (s Share) burst(now time.Time, all []kqmember.Candidate) (map[kqname.Node]bool, float64, bool) {
	if !s.Small {
		return nil, s.Of, true
	}
	var oldSlots, newSlots int
	few := make(map[kqname.Node]bool)
	for _, c := range all {
		if c.Version == s.From {
			oldSlots += c.Slots
		}
	}
	for _, c := range all {
		if c.Version == s.To && (len(few) == 0 || float64(newSlots+c.Slots) <= s.Of*float64(oldSlots)) {
			few[c.Node] = true
			newSlots += c.Slots
		}
	}
	if newSlots == 0 || oldSlots == 0 {
		return nil, s.Of, true
	}
	// A call of the burst goes to the new upstreams by their part of the slots.
	within := max(s.Of, min(float64(newSlots)/float64(oldSlots), 1))
	duty := s.Of / within
	phase := time.Duration(now.UnixNano() % int64(period))
	return few, within, float64(phase) < duty*float64(period)
}
