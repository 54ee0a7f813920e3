package kqplayers

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqslots"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqreplay"
)

type (
	// slots plays kqslots: which call gets one of an upstream's slots.
	slots struct {
		decide  *kqslots.Slots
		tickets map[int]*kqslots.Ticket
		state   slotsState
	}

	slotsSettings struct {
		Slots int `json:"slots"`
		Queue int `json:"queue"`
	}

	// slotsInput names one call that enters, leaves its slot or abandons its
	// place; or it closes the gate.
	slotsInput struct {
		Enter      int     `json:"enter"`
		DeadlineMS float64 `json:"deadline_ms"`
		Leave      int     `json:"leave"`
		Abandon    int     `json:"abandon"`
		Close      bool    `json:"close"`
	}

	slotsState struct {
		Running []int                 `json:"running"`
		Waiting []int                 `json:"waiting"`
		Refused map[int]kqcall.Reason `json:"refused"`
	}
)

func newSlots(settings json.RawMessage, _ uint64) (kqreplay.Player, error) {
	s := slotsSettings{Slots: 6, Queue: 60}
	if err := read(settings, &s); err != nil {
		return nil, err
	}
	if s.Slots < 1 || s.Queue < 0 {
		return nil, fmt.Errorf("slots %d and queue %d must be at least 1 and 0", s.Slots, s.Queue)
	}
	return &slots{
		decide:  kqslots.New(s.Slots, s.Queue),
		tickets: make(map[int]*kqslots.Ticket),
		state:   slotsState{Running: []int{}, Waiting: []int{}, Refused: make(map[int]kqcall.Reason)},
	}, nil
}

// Input implements kqreplay.Player.
func (s *slots) Input(at time.Duration, input json.RawMessage) ([]kqreplay.Decision, error) {
	var in slotsInput
	if err := read(input, &in); err != nil {
		return nil, err
	}
	now := time.UnixMilli(0).Add(at)
	switch {
	case in.Enter > 0 && s.tickets[in.Enter] == nil:
		deadline := time.UnixMilli(0).Add(time.Duration(in.DeadlineMS * float64(time.Millisecond)))
		s.tickets[in.Enter] = s.decide.Enter(now, deadline)
		s.state.Waiting = append(s.state.Waiting, in.Enter)
	case in.Leave > 0 && slices.Contains(s.state.Running, in.Leave):
		s.state.Running = without(s.state.Running, in.Leave)
		s.decide.Leave(now)
	case in.Abandon > 0 && slices.Contains(s.state.Waiting, in.Abandon):
		s.decide.Abandon(s.tickets[in.Abandon])
	case in.Close:
		s.decide.Close()
	default:
		return nil, fmt.Errorf("input %s names no new call to enter, no running call to leave and no waiting call to abandon", input)
	}
	decisions := s.settle()
	if in.Enter > 0 && slices.Contains(s.state.Waiting, in.Enter) {
		decisions = append(decisions, kqreplay.Decision{
			Text: fmt.Sprintf("call %d waits", in.Enter), Reason: fmt.Sprintf("%d calls run", len(s.state.Running)),
		})
	}
	return decisions, nil
}

// State implements kqreplay.Player.
func (s *slots) State(time.Duration) (any, error) { return s.state, nil }

// settle moves the calls whose tickets have been settled since the last input.
func (s *slots) settle() []kqreplay.Decision {
	var decisions []kqreplay.Decision
	for _, call := range slices.Clone(s.state.Waiting) {
		t := s.tickets[call]
		select {
		case <-t.Ready:
		default:
			continue
		}
		s.state.Waiting = without(s.state.Waiting, call)
		if t.Outcome.Result == kqcall.Answered {
			s.state.Running = append(s.state.Running, call)
			decisions = append(decisions, kqreplay.Decision{Text: fmt.Sprintf("call %d runs", call), Reason: "a slot is free"})
			continue
		}
		s.state.Refused[call] = t.Outcome.Reason
		decisions = append(decisions, kqreplay.Decision{Text: fmt.Sprintf("call %d is refused", call), Reason: string(t.Outcome.Reason)})
	}
	return decisions
}

func without(list []int, item int) []int {
	return slices.DeleteFunc(slices.Clone(list), func(i int) bool { return i == item })
}
