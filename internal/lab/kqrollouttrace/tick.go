package kqrollouttrace

import "github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"

// Tick is the input of one rollout tick: the calls of both versions during the tick and
// the slots that each version has.
type Tick struct {
	OldSlots  int               `json:"old_slots"`
	NewSlots  int               `json:"new_slots"`
	ColdSlots int               `json:"cold_slots,omitempty"`
	Cancelled bool              `json:"cancelled,omitempty"`
	Sample    kqevidence.Sample `json:"sample"`
}
