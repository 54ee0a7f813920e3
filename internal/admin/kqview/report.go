package kqview

import (
	"context"
	"fmt"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// Count is one counter of a node that is not at 0.
	Count struct {
		Name   string `json:"name" cbor:"1,keyasint"`
		Reason string `json:"reason,omitempty" cbor:"2,keyasint,omitempty"`
		Value  uint64 `json:"value" cbor:"3,keyasint"`
	}

	// Report is what one node tells of itself when it is asked.
	Report struct {
		Node    kqname.Node          `json:"node" cbor:"1,keyasint"`
		Version kqname.ConfigVersion `json:"version" cbor:"2,keyasint"`
		// Since is when that version came into force on the node.
		Since   time.Time `json:"since" cbor:"3,keyasint"`
		Started time.Time `json:"started" cbor:"4,keyasint"`
		Ready   bool      `json:"ready" cbor:"5,keyasint"`
		// Counts are what the node refused, lost or saw fail since its start.
		Counts []Count `json:"counts" cbor:"6,keyasint"`
	}

	// Reporter asks nodes for their reports.
	Reporter interface {
		Report(ctx context.Context, node kqname.Node) (Report, error)
	}
)

// Report asks one node of the fleet for its report. Only nodes that somebody
// looks at are asked, so that looking costs the fleet nothing otherwise.
func (v *View) Report(ctx context.Context, node kqname.Node) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, platformWait)
	defer cancel()
	r, err := v.node.Report(ctx, node)
	if err != nil {
		return Report{}, fmt.Errorf("view node %s: %w", node, err)
	}
	if r.Counts == nil {
		r.Counts = []Count{}
	}
	return r, nil
}
