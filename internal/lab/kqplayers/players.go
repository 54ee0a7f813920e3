package kqplayers

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqreplay"
)

// All returns the player factories by the kind of decision in a trace's head.
func All() map[string]kqreplay.PlayerFactory {
	return map[string]kqreplay.PlayerFactory{
		"load":    newLoad,
		"rollout": newRollout,
		"slots":   newSlots,
	}
}

// decodeStrict decodes a trace's settings or input. It rejects unknown fields, so
// that a mistyped name does not silently leave the default. Empty data leaves into
// unchanged.
func decodeStrict(data json.RawMessage, into any) error {
	if len(data) == 0 {
		return nil
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return fmt.Errorf("decode %s: %w", data, err)
	}
	return nil
}
