package kqreplay

import (
	"encoding/json"
	"time"
)

type (
	// Player runs one decision package on recorded inputs. Time is what the
	// trace says; a player reads no clock.
	Player interface {
		// Input takes one recorded input at a time since the trace's start and
		// returns the decisions that it led to.
		Input(at time.Duration, input json.RawMessage) ([]Decision, error)
		// State returns the values that a trace can state as outcomes, as a
		// value whose JSON form is an object of snake_case fields.
		State(at time.Duration) (any, error)
	}

	// Decision is one thing decided, told in words for --explain.
	Decision struct {
		// Text says what was decided, such as "call 7 waits".
		Text string
		// Reason says why, such as "all 6 slots are taken".
		Reason string
	}

	// Maker makes a player from the settings and the seed in a trace's head.
	Maker func(settings json.RawMessage, seed uint64) (Player, error)
)
