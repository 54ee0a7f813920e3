package kqplayers

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqreplay"
)

// All returns the players by the name that a trace's head gives.
func All() map[string]kqreplay.Maker {
	return map[string]kqreplay.Maker{
		"load":    newLoad,
		"rollout": newRollout,
		"slots":   newSlots,
	}
}

// read decodes a trace's settings or input and refuses unknown fields, so that
// a mistyped name does not quietly take its default.
func read(data json.RawMessage, into any) error {
	if len(data) == 0 {
		return nil
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return fmt.Errorf("read %s: %w", data, err)
	}
	return nil
}
