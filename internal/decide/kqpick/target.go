package kqpick

import (
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// ample is the part of a route's target within which an upstream near by is expected
	// to answer to go before all others: most calls are then in time all the same, and
	// their answers don't cross between domains.
	ample = 0.6
	// nestedAmple is that part for nested calls.
	nestedAmple = 0.35
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

// Ample returns the expected time that is ample for calls with a target. For nested ones
// it is less: the call above holds a slot of its upstream while it waits for the answer,
// and where slots are short each of these milliseconds is taken from another caller. A
// queue near by is then reason enough to go elsewhere.
func Ample(target time.Duration, nested bool) time.Duration {
	if nested {
		return time.Duration(nestedAmple * float64(target))
	}
	return time.Duration(ample * float64(target))
}
