package kqreplay

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// ErrOutcomeMismatch is wrapped by the error for an expected outcome that does not
// match the player's state. The message starts with the trace's name and the line.
var ErrOutcomeMismatch = errors.New("outcome missed")

type (
	// Explainer is called for each decision with the trace line that caused it.
	Explainer func(line int, at time.Duration, d Decision)
)

// Run replays the trace and returns how many outcomes matched. It stops with
// ErrOutcomeMismatch at the first outcome that does not match, or with ErrMalformed
// if the player rejects the settings or an input.
func (t Trace) Run(newPlayer PlayerFactory, explain Explainer) (int, error) {
	player, err := newPlayer(t.Settings, t.Seed)
	if err != nil {
		return 0, fmt.Errorf("%s:1: %w: %w", t.Name, ErrMalformed, err)
	}
	matched := 0
	for _, s := range t.Steps {
		if s.Input != nil {
			if err := t.playInput(player, s, explain); err != nil {
				return matched, err
			}
			continue
		}
		if err := t.checkOutcome(player, s); err != nil {
			return matched, err
		}
		matched++
	}
	return matched, nil
}

func (t Trace) playInput(player Player, s Step, explain Explainer) error {
	decisions, err := player.Input(s.At, s.Input)
	if err != nil {
		return fmt.Errorf("%s:%d: %w: %w", t.Name, s.Line, ErrMalformed, err)
	}
	for _, d := range decisions {
		explain(s.Line, s.At, d)
	}
	return nil
}

func (t Trace) checkOutcome(player Player, s Step) error {
	state, err := player.State(s.At)
	if err != nil {
		return fmt.Errorf("%s:%d: read state: %w", t.Name, s.Line, err)
	}
	got, err := toJSONValue(state)
	if err != nil {
		return fmt.Errorf("%s:%d: read state: %w", t.Name, s.Line, err)
	}
	var want any
	if err := json.Unmarshal(s.Expect, &want); err != nil {
		return fmt.Errorf("%s:%d: %w: %w", t.Name, s.Line, ErrMalformed, err)
	}
	if difference := firstDifference("", want, got); difference != "" {
		return fmt.Errorf("%s:%d: %w at %v: %s", t.Name, s.Line, ErrOutcomeMismatch, s.At, difference)
	}
	return nil
}

// toJSONValue converts a value to the generic form that encoding/json decodes JSON
// into.
func toJSONValue(value any) (any, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	var result any
	if err := json.Unmarshal(data, &result); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	return result, nil
}
