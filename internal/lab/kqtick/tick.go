package kqtick

import "github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"

// Tick is what both versions did in one tick, and the slots that they had.
type Tick struct {
	OldSlots  int               `json:"old_slots"`
	NewSlots  int               `json:"new_slots"`
	ColdSlots int               `json:"cold_slots,omitempty"`
	Cancelled bool              `json:"cancelled,omitempty"`
	Sample    kqevidence.Sample `json:"sample"`
}
