package kqreplay

import (
	"encoding/json"
	"time"
)

type (
	// Player feeds recorded inputs to a decision package. It takes the time from the
	// trace and reads no clock.
	Player interface {
		// Input processes one recorded input; at is the time since the trace's
		// start. It returns the decisions that the input caused.
		Input(at time.Duration, input json.RawMessage) ([]Decision, error)
		// State returns the values that outcomes are compared with. It must encode
		// as a JSON object with snake_case fields.
		State(at time.Duration) (any, error)
	}

	// Decision describes one decision for the output of --explain.
	Decision struct {
		// Text is the decision, such as "call 7 waits".
		Text string
		// Reason is the reason for the decision, such as "6 calls run".
		Reason string
	}

	// PlayerFactory creates a player from the settings and seed in a trace's head.
	PlayerFactory func(settings json.RawMessage, seed uint64) (Player, error)
)
