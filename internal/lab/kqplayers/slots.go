package kqplayers

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqslots"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqreplay"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// slots is the player for kqslots: which calls get an upstream's slots.
	slots struct {
		admission *kqslots.Slots
		tickets   map[int]*kqslots.Ticket
		state     slotsState
	}

	slotsSettings struct {
		Slots int `json:"slots"`
	}

	// slotsInput is one of: a call that arrives (enter), a call that releases its slot
	// after took_ms (leave), a call whose wait times out (expire), a new number of
	// slots, or the close of the gate. Calls are identified by positive numbers.
	// deadline_ms counts from the start of the trace.
	slotsInput struct {
		Enter      int              `json:"enter"`
		Caller     kqname.Caller    `json:"caller"`
		Route      kqname.Route     `json:"route"`
		Class      kqdocument.Class `json:"class"`
		DeadlineMS float64          `json:"deadline_ms"`
		Leave      int              `json:"leave"`
		TookMS     float64          `json:"took_ms"`
		Expire     int              `json:"expire"`
		Slots      int              `json:"slots"`
		Close      bool             `json:"close"`
	}

	slotsState struct {
		Running []int                 `json:"running"`
		Waiting []int                 `json:"waiting"`
		Refused map[int]kqcall.Reason `json:"refused"`
	}
)

func newSlots(settings json.RawMessage, seed uint64) (kqreplay.Player, error) {
	s := slotsSettings{Slots: 6}
	if err := decodeStrict(settings, &s); err != nil {
		return nil, err
	}
	if s.Slots < 1 {
		return nil, fmt.Errorf("slots %d must be at least 1", s.Slots)
	}
	return &slots{
		admission: kqslots.New(s.Slots, seed),
		tickets:   make(map[int]*kqslots.Ticket),
		state:     slotsState{Running: []int{}, Waiting: []int{}, Refused: make(map[int]kqcall.Reason)},
	}, nil
}

// Input implements kqreplay.Player.
func (s *slots) Input(at time.Duration, input json.RawMessage) ([]kqreplay.Decision, error) {
	var in slotsInput
	if err := decodeStrict(input, &in); err != nil {
		return nil, err
	}
	now := time.UnixMilli(0).Add(at)
	switch {
	case in.Enter > 0 && s.tickets[in.Enter] == nil:
		t := &kqslots.Ticket{
			Caller: in.Caller, Route: in.Route, Class: in.Class,
			Deadline: time.UnixMilli(0).Add(milliseconds(in.DeadlineMS)),
		}
		s.tickets[in.Enter] = t
		s.admission.Enter(t, now)
	case in.Leave > 0 && slices.Contains(s.state.Running, in.Leave):
		t := s.tickets[in.Leave]
		delete(s.tickets, in.Leave)
		s.admission.Leave(t, milliseconds(in.TookMS), now)
	case in.Expire > 0 && slices.Contains(s.state.Waiting, in.Expire):
		s.admission.Expire(s.tickets[in.Expire])
	case in.Slots > 0:
		s.admission.Resize(in.Slots, now)
	case in.Close:
		s.admission.Close(kqcall.Draining)
	default:
		return nil, fmt.Errorf("input %s must have an enter with a new call, a leave with a running call, an expire with a waiting call, slots over 0, or close", input)
	}
	return s.applyVerdicts(), nil
}

// State implements kqreplay.Player.
func (s *slots) State(time.Duration) (any, error) { return s.state, nil }

// applyVerdicts updates the state from the tickets' verdicts. It returns a decision
// for each ticket whose verdict has changed.
func (s *slots) applyVerdicts() []kqreplay.Decision {
	var decisions []kqreplay.Decision
	before := s.state
	s.state = slotsState{Running: []int{}, Waiting: []int{}, Refused: before.Refused}
	addIfNew := func(known bool, text, reason string) {
		if !known {
			decisions = append(decisions, kqreplay.Decision{Text: text, Reason: reason})
		}
	}
	for _, call := range slices.Sorted(maps.Keys(s.tickets)) {
		t := s.tickets[call]
		switch t.Verdict {
		case kqslots.Run:
			s.state.Running = append(s.state.Running, call)
			addIfNew(slices.Contains(before.Running, call), fmt.Sprintf("call %d runs", call), "a slot is free")
		case kqslots.Wait:
			s.state.Waiting = append(s.state.Waiting, call)
			addIfNew(slices.Contains(before.Waiting, call), fmt.Sprintf("call %d waits", call), fmt.Sprintf("%d calls run", s.admission.Load().Running))
		case kqslots.Refuse:
			_, known := before.Refused[call]
			s.state.Refused[call] = t.Refusal.Reason
			addIfNew(known, fmt.Sprintf("call %d is refused", call), string(t.Refusal.Reason))
		}
	}
	return decisions
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
