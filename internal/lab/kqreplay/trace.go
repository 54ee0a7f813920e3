package kqreplay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

const (
	// MaxLineBytes is the maximum length of one line of a trace with its line end.
	MaxLineBytes = 1 << 20

	kindTrace   = "trace"
	kindInput   = "input"
	kindOutcome = "outcome"
)

// ErrMalformed is wrapped by errors for a trace that cannot be read or replayed. The
// message starts with the trace's name and the line.
var ErrMalformed = errors.New("malformed trace")

type (
	// Trace is a recorded trace: the values of its head line and its steps, ordered
	// by time.
	Trace struct {
		// Name is the trace's source for error messages, such as its file.
		Name string
		// Decision is the kind of decision that the trace was recorded for, such as
		// "rollout". It selects the PlayerFactory.
		Decision string
		Seed     uint64
		Settings json.RawMessage
		Steps    []Step
	}

	// Step is one input, with Input set, or one expected outcome, with Expect set. The
	// other of the two fields is nil.
	Step struct {
		// Line is the line number, starting at 1.
		Line   int
		At     time.Duration
		Input  json.RawMessage
		Expect json.RawMessage
	}

	// line is the JSON form of every line; Kind determines which fields are allowed.
	line struct {
		Kind     string          `json:"kind"`
		Decision *string         `json:"decision"`
		Seed     *uint64         `json:"seed"`
		Settings json.RawMessage `json:"settings"`
		AtMS     *float64        `json:"at_ms"`
		Input    json.RawMessage `json:"input"`
		Expect   json.RawMessage `json:"expect"`
	}
)

// Read reads and validates a whole trace, so that a mistake in its last line is
// found before any of it is replayed.
func Read(name string, r io.Reader) (Trace, error) {
	t := Trace{Name: name}
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), MaxLineBytes)
	number, outcomes := 0, 0
	for lines.Scan() {
		number++
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		if err := t.addLine(number, text); err != nil {
			return Trace{}, fmt.Errorf("%s:%d: %w: %w", name, number, ErrMalformed, err)
		}
		if n := len(t.Steps); n > 0 && t.Steps[n-1].Line == number && t.Steps[n-1].Expect != nil {
			outcomes++
		}
	}
	if err := lines.Err(); err != nil {
		return Trace{}, fmt.Errorf("%s:%d: %w: %w", name, number+1, ErrMalformed, err)
	}
	if t.Decision == "" {
		return Trace{}, fmt.Errorf("%s:1: %w: no head line of kind %q", name, ErrMalformed, kindTrace)
	}
	if outcomes == 0 {
		return Trace{}, fmt.Errorf("%s:%d: %w: no line of kind %q, so nothing would be checked", name, number, ErrMalformed, kindOutcome)
	}
	return t, nil
}

func (t *Trace) addLine(number int, text []byte) error {
	var l line
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&l); err != nil {
		return err
	}
	if _, err := dec.Token(); err != io.EOF {
		return errors.New("data after the JSON value")
	}
	if t.Decision == "" {
		return t.setHead(l)
	}
	return t.addStep(number, l)
}

func (t *Trace) setHead(l line) error {
	switch {
	case l.Kind != kindTrace:
		return fmt.Errorf("the first line is of kind %q, not %q", l.Kind, kindTrace)
	case l.Decision == nil || *l.Decision == "":
		return errors.New("the head names no decision")
	case l.AtMS != nil || l.Input != nil || l.Expect != nil:
		return errors.New("the head has a field of an input or outcome line")
	}
	t.Decision, t.Settings = *l.Decision, l.Settings
	if l.Seed != nil {
		t.Seed = *l.Seed
	}
	return nil
}

func (t *Trace) addStep(number int, l line) error {
	switch {
	case l.Kind != kindInput && l.Kind != kindOutcome:
		return fmt.Errorf("unknown kind %q", l.Kind)
	case l.Decision != nil || l.Seed != nil || l.Settings != nil:
		return errors.New("a field of the head is set in a later line")
	case l.AtMS == nil:
		return errors.New("at_ms is missing")
	case !(*l.AtMS >= 0 && *l.AtMS <= 1e12):
		return fmt.Errorf("at_ms %v is not from 0 to 1e12", *l.AtMS)
	case l.Kind == kindInput && (l.Input == nil || l.Expect != nil):
		return errors.New("an input line needs the field input and must not have expect")
	case l.Kind == kindOutcome && (l.Expect == nil || l.Input != nil):
		return errors.New("an outcome line needs the field expect and must not have input")
	}
	s := Step{Line: number, At: time.Duration(*l.AtMS * float64(time.Millisecond)), Input: l.Input, Expect: l.Expect}
	if n := len(t.Steps); n > 0 && s.At < t.Steps[n-1].At {
		return fmt.Errorf("at_ms %v is before the line above", *l.AtMS)
	}
	t.Steps = append(t.Steps, s)
	return nil
}
