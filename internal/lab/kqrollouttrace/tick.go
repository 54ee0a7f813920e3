package kqrollouttrace

import "github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"

// Tick is the input of one rollout tick: the calls of both versions during the tick, the
// slots that each version has, and whether an operator has cancelled the rollout. ColdSlots
// are the slots of new upstreams that have only just started; NewSlots leaves them out.
type Tick struct {
	OldSlots  int               `json:"old_slots"`
	NewSlots  int               `json:"new_slots"`
	ColdSlots int               `json:"cold_slots,omitempty"`
	Cancelled bool              `json:"cancelled,omitempty"`
	Sample    kqevidence.Sample `json:"sample"`
}
