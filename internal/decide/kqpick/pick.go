// Package kqpick chooses the upstream that a call is sent to.
package kqpick

import (
	"math/rand/v2"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Picker chooses at random among the candidates of a version.
type Picker struct{}

// New returns a picker.
func New() *Picker { return &Picker{} }

// Pick returns a candidate of the wanted version, any version if it is empty,
// that is not among the tried nodes.
func (p *Picker) Pick(all []kqmember.Candidate, want kqname.UpstreamVersion, tried map[kqname.Node]bool, random *rand.Rand) (kqmember.Candidate, bool) {
	var fit []kqmember.Candidate
	for _, c := range all {
		if (want == "" || c.Version == want) && !tried[c.Node] {
			fit = append(fit, c)
		}
	}
	if len(fit) == 0 {
		return kqmember.Candidate{}, false
	}
	return fit[random.IntN(len(fit))], true
}
