package kqshare

import (
	"slices"
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
		// Grow lets the share grow to the new version's part of all slots.
		Grow bool
		// Not are further versions that must get no calls where From is empty,
		// which stands for every version but To.
		Not []kqname.UpstreamVersion
	}

	// Burst is a share laid over each second and over upstreams.
	Burst struct {
		From, To kqname.UpstreamVersion
		// Nodes limits the new version's calls to these; nil accepts all.
		Nodes map[kqname.Node]bool
		// Within is the share of calls for the new version while the burst is
		// on, and Duty the part of each second for which it is.
		Within, Duty float64
		// Not are the versions that get none of the old version's calls.
		Not []kqname.UpstreamVersion
	}

	// Random gives a number in [0, 1).
	Random interface {
		Float64() float64
	}
)

// Split returns where one call may go at the time now.
func (b Burst) Split(now time.Time, random Random) kqpick.Target {
	phase := time.Duration(now.UnixNano() % int64(period))
	if b.Within <= 0 || float64(phase) >= b.Duty*float64(period) || random.Float64() >= b.Within {
		return kqpick.Target{Version: b.From, Not: b.Not}
	}
	return kqpick.Target{Version: b.To, Nodes: b.Nodes, Fallback: b.From, FallbackNot: b.Not}
}

// Burst returns how the share is laid over a second and over upstreams. It
// stands until the upstreams change.
func (s Share) Burst(all []kqmember.Candidate) Burst {
	whole := Burst{From: s.From, To: s.To, Within: s.Of, Duty: 1, Not: s.Refused()}
	oldSlots, newSlots := 0, 0
	for _, c := range all {
		switch {
		case s.Old(c.Version):
			oldSlots += c.Slots
		case c.Version == s.To:
			newSlots += c.Slots
		}
	}
	if s.Grow && newSlots > 0 {
		whole.Within = max(s.Of, float64(newSlots)/float64(newSlots+oldSlots))
		return whole
	}
	if !s.Small {
		// When new upstreams die in a herd, the rest would get more than an old
		// one's load, and be slow for no fault of their version.
		if newSlots < oldSlots {
			whole.Within = min(s.Of, float64(newSlots)/float64(oldSlots))
		}
		return whole
	}
	newSlots = 0
	few := make(map[kqname.Node]bool)
	for _, c := range all {
		if c.Version == s.To && (newSlots == 0 || float64(newSlots+c.Slots) <= s.Of*float64(oldSlots)) {
			few[c.Node] = true
			newSlots += c.Slots
		}
	}
	if newSlots == 0 || oldSlots == 0 {
		return whole
	}
	// In a burst, an upstream of the few gets calls as an old one does: by its
	// part of the old version's slots.
	within := max(s.Of, min(float64(newSlots)/float64(oldSlots), 1))
	return Burst{From: s.From, To: s.To, Nodes: few, Within: within, Duty: s.Of / within, Not: s.Refused()}
}

// Old reports whether the version is one that the calls move from.
func (s Share) Old(v kqname.UpstreamVersion) bool {
	if s.From == "" {
		return v != s.To && !slices.Contains(s.Not, v)
	}
	return v == s.From
}

// Refused returns the versions that a call to the old ones must not go to; it is
// empty where From names the old one.
func (s Share) Refused() []kqname.UpstreamVersion {
	if s.From != "" {
		return nil
	}
	return append(slices.Clone(s.Not), s.To)
}
