// Package kqpick chooses the upstream that a call is sent to.
package kqpick

import (
	"math/rand/v2"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// Picker chooses at random among the candidates that a target allows.
	Picker struct{}

	// Target says which upstreams of a service a call may go to.
	Target struct {
		// Version is the wanted upstream version; empty accepts any.
		Version kqname.UpstreamVersion
		// Nodes limits the choice to these nodes' upstreams; nil accepts all.
		Nodes map[kqname.Node]bool
		// Fallback is the version to turn to once the target has refused a
		// call or has nobody to take it; empty leaves no other.
		Fallback kqname.UpstreamVersion
	}
)

// New returns a picker.
func New() *Picker { return &Picker{} }

// Pick returns a candidate that the target allows and that is not among the
// tried nodes.
func (p *Picker) Pick(all []kqmember.Candidate, target Target, tried map[kqname.Node]bool, random *rand.Rand) (kqmember.Candidate, bool) {
	var fit []kqmember.Candidate
	for _, c := range all {
		if target.allows(c) && !tried[c.Node] {
			fit = append(fit, c)
		}
	}
	if len(fit) == 0 {
		return kqmember.Candidate{}, false
	}
	return fit[random.IntN(len(fit))], true
}

// Next returns the target for a call that this one did not take.
func (t Target) Next() Target {
	if t.Fallback == "" {
		return t
	}
	return Target{Version: t.Fallback}
}

func (t Target) allows(c kqmember.Candidate) bool {
	return (t.Version == "" || c.Version == t.Version) && (t.Nodes == nil || t.Nodes[c.Node])
}
