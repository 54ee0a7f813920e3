package kqshare

import (
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// period is the period of the bursts. Averaged over each period, the new version gets no
// more than its share.
const period = time.Second

type (
	// Share is how a rollout's calls are split at one step.
	Share struct {
		// From is the old version. If it is empty, every version except To and
		// ExcludedVersions is an old one.
		From, To kqname.UpstreamVersion
		// Fraction is the share of traffic for the new version, from 0 to 1.
		Fraction float64
		// FewUpstreams is set if the share goes to few upstreams.
		FewUpstreams bool
		// MayGrow lets the share grow to the new version's part of all slots.
		MayGrow bool
		// ExcludedVersions are versions other than To that must get no calls. They are
		// only used if From is empty.
		ExcludedVersions []kqname.UpstreamVersion
	}

	// Distribution states in which part of each second calls go to the new version, and to
	// which of its upstreams.
	Distribution struct {
		// From is the version of the calls that do not go to To. If it is empty, they may
		// go to any version that is not in ExcludedVersions.
		From, To kqname.UpstreamVersion
		// Nodes limits the new version's calls to these; nil accepts all.
		Nodes map[kqname.Node]bool
		// Within is the share of calls for the new version during the burst, and Duty
		// the part of each second that the burst lasts (the duty cycle).
		Within, Duty float64
		// ExcludedVersions are the versions that must not get the calls for From.
		ExcludedVersions []kqname.UpstreamVersion
	}

	// Random generates numbers in [0, 1).
	Random interface {
		Float64() float64
	}
)

// Split returns the version and the upstreams that one call may go to at the time now.
func (d Distribution) Split(now time.Time, random Random) kqpick.Criteria {
	phase := time.Duration(now.UnixNano() % int64(period))
	if d.Within <= 0 || float64(phase) >= d.Duty*float64(period) || random.Float64() >= d.Within {
		return kqpick.Criteria{Version: d.From, ExcludedVersions: d.ExcludedVersions}
	}
	return kqpick.Criteria{Version: d.To, Nodes: d.Nodes, Fallback: d.From, FallbackExcludedVersions: d.ExcludedVersions}
}

// Distribution returns how the share is spread over each second and over upstreams. The
// result is valid until the upstreams change.
func (s Share) Distribution(all []kqmember.Candidate) Distribution {
	toAll := Distribution{From: s.From, To: s.To, Within: s.Fraction, Duty: 1, ExcludedVersions: s.ExcludedFromOld()}
	oldSlots, newSlots := 0, 0
	for _, c := range all {
		switch {
		case s.IsOld(c.Version):
			oldSlots += c.Slots
		case c.Version == s.To:
			newSlots += c.Slots
		}
	}
	if s.MayGrow && newSlots > 0 {
		toAll.Within = max(s.Fraction, float64(newSlots)/float64(newSlots+oldSlots))
		return toAll
	}
	if !s.FewUpstreams {
		// If many new upstreams have crashed, the full share would give the remaining
		// ones more load than an old one, and they would be slow through no fault of
		// their version.
		if newSlots < oldSlots {
			toAll.Within = min(s.Fraction, float64(newSlots)/float64(oldSlots))
		}
		return toAll
	}
	newSlots = 0
	selected := make(map[kqname.Node]bool)
	for _, c := range all {
		if c.Version == s.To && (newSlots == 0 || float64(newSlots+c.Slots) <= s.Fraction*float64(oldSlots)) {
			selected[c.Node] = true
			newSlots += c.Slots
		}
	}
	if newSlots == 0 || oldSlots == 0 {
		return toAll
	}
	// During the burst, a selected upstream gets about the load of an old one, in
	// proportion to its slots.
	within := max(s.Fraction, min(float64(newSlots)/float64(oldSlots), 1))
	return Distribution{From: s.From, To: s.To, Nodes: selected, Within: within, Duty: s.Fraction / within, ExcludedVersions: s.ExcludedFromOld()}
}

// IsOld reports whether the rollout moves calls away from the version.
func (s Share) IsOld(v kqname.UpstreamVersion) bool {
	if s.From == "" {
		return v != s.To && !slices.Contains(s.ExcludedVersions, v)
	}
	return v == s.From
}

// ExcludedFromOld returns the versions that a call to the old versions must not go to. It
// is empty if From names the old version.
func (s Share) ExcludedFromOld() []kqname.UpstreamVersion {
	if s.From != "" {
		return nil
	}
	return append(slices.Clone(s.ExcludedVersions), s.To)
}
