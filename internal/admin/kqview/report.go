package kqview

import (
	"context"
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// Count is one nonzero counter of a node.
	Count struct {
		Name string `json:"name" cbor:"1,keyasint"`
		// Reason holds the counter's label values that are not empty, such as a call's
		// result and reason, separated by spaces.
		Reason string `json:"reason,omitempty" cbor:"2,keyasint,omitempty"`
		Value  uint64 `json:"value" cbor:"3,keyasint"`
	}

	// Report is the state that a node reports about itself on request.
	Report struct {
		Node    kqname.Node          `json:"node" cbor:"1,keyasint"`
		Version kqname.ConfigVersion `json:"version" cbor:"2,keyasint"`
		// Since is when the node last applied a snapshot, of a new version or of the
		// same version with other hosts.
		Since   time.Time `json:"since" cbor:"3,keyasint"`
		Started time.Time `json:"started" cbor:"4,keyasint"`
		Ready   bool      `json:"ready" cbor:"5,keyasint"`
		// Counts holds the nonzero counters of refusals, failed calls and other
		// failures since the node started.
		Counts []Count `json:"counts" cbor:"6,keyasint"`
	}

	// Reporter requests reports from nodes.
	Reporter interface {
		Report(ctx context.Context, node kqname.Node) (Report, error)
	}
)

// Report requests the report of one node. Reports are fetched only on demand, so
// that they cause no traffic while no operator views them.
func (v *View) Report(ctx context.Context, node kqname.Node) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := v.node.Report(ctx, node)
	if err != nil {
		return Report{}, fmt.Errorf("get report of node %s: %w", node, err)
	}
	if r.Counts == nil {
		r.Counts = []Count{}
	}
	return r, nil
}
