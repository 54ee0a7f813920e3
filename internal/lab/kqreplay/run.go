package kqreplay

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// ErrMissed tells that a stated outcome was not met; its error names the line.
var ErrMissed = errors.New("outcome missed")

type (
	// Explainer is told of each decision and the line that led to it.
	Explainer func(line int, at time.Duration, d Decision)
)

// Run plays the trace and returns how many outcomes were met. It ends at the
// first one that is missed, with ErrMissed, or at the first input that the
// player cannot take, with ErrMalformed.
func (t Trace) Run(maker Maker, explain Explainer) (int, error) {
	player, err := maker(t.Settings, t.Seed)
	if err != nil {
		return 0, fmt.Errorf("%s:1: %w: %w", t.Name, ErrMalformed, err)
	}
	met := 0
	for _, s := range t.Steps {
		if s.Input != nil {
			if err := t.input(player, s, explain); err != nil {
				return met, err
			}
			continue
		}
		if err := t.outcome(player, s); err != nil {
			return met, err
		}
		met++
	}
	return met, nil
}

func (t Trace) input(player Player, s Step, explain Explainer) error {
	decisions, err := player.Input(s.At, s.Input)
	if err != nil {
		return fmt.Errorf("%s:%d: %w: %w", t.Name, s.Line, ErrMalformed, err)
	}
	for _, d := range decisions {
		explain(s.Line, s.At, d)
	}
	return nil
}

func (t Trace) outcome(player Player, s Step) error {
	state, err := player.State(s.At)
	if err != nil {
		return fmt.Errorf("%s:%d: read state: %w", t.Name, s.Line, err)
	}
	seen, err := plain(state)
	if err != nil {
		return fmt.Errorf("%s:%d: read state: %w", t.Name, s.Line, err)
	}
	var want any
	if err := json.Unmarshal(s.Expect, &want); err != nil {
		return fmt.Errorf("%s:%d: %w: %w", t.Name, s.Line, ErrMalformed, err)
	}
	if difference := differ("", want, seen); difference != "" {
		return fmt.Errorf("%s:%d: %w at %v: %s", t.Name, s.Line, ErrMissed, s.At, difference)
	}
	return nil
}

// plain turns a value into what encoding/json makes of its JSON form.
func plain(value any) (any, error) {
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
