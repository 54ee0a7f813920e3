package kqpick

import (
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Target says which upstreams of a service a call may go to.
type Target struct {
	// Version is the wanted upstream version; empty accepts any.
	Version kqname.UpstreamVersion
	// Nodes limits the choice to these nodes' upstreams; nil accepts all.
	Nodes map[kqname.Node]bool
	// Fallback is the version to turn to once the target has refused a
	// call or has nobody to take it; empty leaves no other.
	Fallback kqname.UpstreamVersion
	// Not are versions that the call must not go to, and FallbackNot those of
	// the target to turn to in place of Fallback.
	Not, FallbackNot []kqname.UpstreamVersion
	// Ample is an expected time that is well within what the call's answer is
	// wanted in; an upstream of the own failure domain that is expected to
	// take no longer goes first. 0 states none.
	Ample time.Duration
	// Route is the call's; empty where upstreams tell of no route.
	Route kqname.Route
}

// Next returns the target for a call that this one did not take.
func (t Target) Next() Target {
	switch {
	case t.Fallback != "":
		return Target{Version: t.Fallback, Ample: t.Ample, Route: t.Route}
	case len(t.FallbackNot) > 0:
		return Target{Not: t.FallbackNot, Ample: t.Ample, Route: t.Route}
	default:
		return t
	}
}

// HasNext reports whether there is another target to turn to.
func (t Target) HasNext() bool { return t.Fallback != "" || len(t.FallbackNot) > 0 }

func (t Target) allows(c kqmember.Candidate) bool {
	return (t.Version == "" || c.Version == t.Version) && (t.Nodes == nil || t.Nodes[c.Node]) && !slices.Contains(t.Not, c.Version)
}
