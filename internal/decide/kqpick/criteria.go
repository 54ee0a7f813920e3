package kqpick

import (
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// comfortableShare is the share of a route's latency target within which an upstream of
	// the own failure domain is preferred: most calls still meet the target, and their
	// responses do not cross between domains.
	comfortableShare = 0.6
	// nestedComfortableShare is the share for nested calls.
	nestedComfortableShare = 0.35
)

// Criteria are what the choice of an upstream for a call depends on: which upstreams of
// the service it may go to, its route, and up to which expected time it stays in its domain.
type Criteria struct {
	// Version is the required upstream version; empty allows any.
	Version kqname.UpstreamVersion
	// Nodes restricts the choice to the upstreams of these nodes; nil allows all.
	Nodes map[kqname.Node]bool
	// Fallback is the version required of every attempt after the first, and of the first
	// if no upstream is allowed; empty means no fallback version.
	Fallback kqname.UpstreamVersion
	// ExcludedVersions are the versions that the call must not go to. Without a Fallback
	// version, the attempts that it would apply to may go to any version other than
	// FallbackExcludedVersions, if there are any of these.
	ExcludedVersions, FallbackExcludedVersions []kqname.UpstreamVersion
	// Evacuated are the failure domains whose upstreams the call must not go to.
	Evacuated []kqname.Domain
	// ComfortableLatency is the weighted expected time (see leastEstimate) below which an
	// upstream of the own failure domain is preferred to all others; 0 means none.
	ComfortableLatency time.Duration
	// Route is the route of the call. If it is empty, expected times use only the load
	// reports about calls of any route.
	Route kqname.Route
	// Affinity makes all entries send calls with the same value to the same upstream, as far
	// as they know the same ones; 0 means none.
	Affinity uint64
	// AffinityRank selects that upstream: 0 is the first choice for the affinity, 1 the next.
	AffinityRank int
	// LeastPreferred is the node whose upstream is used only if there is no other.
	LeastPreferred kqname.Node
}

// Next returns the criteria to use after these have not served the call: their fallback,
// or themselves if they have none.
func (c Criteria) Next() Criteria {
	switch {
	case c.Fallback != "":
		return Criteria{Version: c.Fallback, Evacuated: c.Evacuated, ComfortableLatency: c.ComfortableLatency, Route: c.Route, Affinity: c.Affinity, AffinityRank: c.AffinityRank, LeastPreferred: c.LeastPreferred}
	case len(c.FallbackExcludedVersions) > 0:
		return Criteria{ExcludedVersions: c.FallbackExcludedVersions, Evacuated: c.Evacuated, ComfortableLatency: c.ComfortableLatency, Route: c.Route, Affinity: c.Affinity, AffinityRank: c.AffinityRank, LeastPreferred: c.LeastPreferred}
	default:
		return c
	}
}

// AllowsAny reports whether the call may go to any of the upstreams, as its first attempt or
// by its fallback.
func (c Criteria) AllowsAny(all []kqmember.Candidate) bool {
	next := c.Next()
	return slices.ContainsFunc(all, func(u kqmember.Candidate) bool { return c.allows(u) || next.allows(u) })
}

// HasNext reports whether there are fallback criteria.
func (c Criteria) HasNext() bool { return c.Fallback != "" || len(c.FallbackExcludedVersions) > 0 }

func (c Criteria) allows(candidate kqmember.Candidate) bool {
	return !slices.Contains(c.Evacuated, candidate.Domain) && (c.Version == "" || candidate.Version == c.Version) && (c.Nodes == nil || c.Nodes[candidate.Node]) && !slices.Contains(c.ExcludedVersions, candidate.Version)
}

// ComfortableLatency returns Criteria.ComfortableLatency for calls of a route with the
// given latency target. It is less for nested calls: the calling call holds a slot of its
// upstream while it waits, so when slots are short, extra milliseconds delay other callers,
// and a queue in the own domain is reason enough to use another domain.
func ComfortableLatency(target time.Duration, nested bool) time.Duration {
	if nested {
		return time.Duration(nestedComfortableShare * float64(target))
	}
	return time.Duration(comfortableShare * float64(target))
}
