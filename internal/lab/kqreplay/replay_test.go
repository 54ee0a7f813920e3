package kqreplay_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqreplay"
)

const head = `{"kind":"trace","decision":"count","seed":1}` + "\n"

// counter is a Player that counts its inputs.
type counter struct{ seen int }

func (c *counter) Input(time.Duration, json.RawMessage) ([]kqreplay.Decision, error) {
	c.seen++
	return nil, nil
}

func (c *counter) State(time.Duration) (any, error) {
	return map[string]any{"seen": c.seen, "other": []string{"a"}}, nil
}

func run(text string) error {
	t, err := kqreplay.Read("trace", strings.NewReader(text))
	if err != nil {
		return err
	}
	_, err = t.Run(func(json.RawMessage, uint64) (kqreplay.Player, error) { return &counter{}, nil }, nil)
	return err
}

// An outcome that has only some of the state's fields, or a range for a number, must
// match. If replay compared whole states exactly, each new field of a state would
// break the recorded traces.
func TestOutcomesAreSubsetsAndRanges(t *testing.T) {
	text := head + `{"kind":"input","at_ms":1,"input":{}}
{"kind":"outcome","at_ms":1,"expect":{"seen":1}}
{"kind":"outcome","at_ms":2.5,"expect":{"seen":{"min":1,"max":2},"other":["a"]}}`
	if err := run(text); err != nil {
		t.Error(err)
	}
}

// A trace whose outcome doesn't match, or with a mistake from editing by hand, must
// fail with the right kind of error, which says where the mistake is.
func TestErrorsNameTheLine(t *testing.T) {
	outcome := `{"kind":"outcome","at_ms":1,"expect":{"seen":0}}` + "\n"
	for name, c := range map[string]struct {
		text, want string
		wantErr    error
	}{
		"missed":           {head + outcome + `{"kind":"outcome","at_ms":2,"expect":{"seen":3}}`, "trace:3: outcome missed at 2ms: state.seen is 0, want 3", kqreplay.ErrOutcomeMismatch},
		"missed range":     {head + `{"kind":"outcome","at_ms":2,"expect":{"seen":{"min":1}}}`, "trace:2:", kqreplay.ErrOutcomeMismatch},
		"missed list":      {head + `{"kind":"outcome","at_ms":2,"expect":{"other":["a","b"]}}`, "state.other", kqreplay.ErrOutcomeMismatch},
		"unknown field":    {head + `{"kind":"outcome","at_ms":2,"expect":{"nothing":1}}`, "state.nothing is missing", kqreplay.ErrOutcomeMismatch},
		"not JSON":         {head + outcome + "{", "trace:3:", kqreplay.ErrMalformed},
		"two values":       {head + outcome + "{}{}", "trace:3:", kqreplay.ErrMalformed},
		"misspelled field": {head + outcome + `{"kind":"input","at":3,"input":{}}`, "trace:3:", kqreplay.ErrMalformed},
		"time decreases":   {head + outcome + `{"kind":"input","at_ms":0,"input":{}}`, "is before the line above", kqreplay.ErrMalformed},
		"unknown kind":     {head + outcome + `{"kind":"note","at_ms":3}`, `unknown kind "note"`, kqreplay.ErrMalformed},
		"no head":          {outcome, "trace:1:", kqreplay.ErrMalformed},
		"empty":            {"", "no head line", kqreplay.ErrMalformed},
		"no outcome":       {head, "nothing would be checked", kqreplay.ErrMalformed},
		"long line":        {head + strings.Repeat("x", kqreplay.MaxLineBytes+1), "trace:2:", kqreplay.ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			err := run(c.text)
			if !errors.Is(err, c.wantErr) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want one that contains %q", err, c.want)
			}
		})
	}
}

// Any text must be replayed, or rejected as malformed or for a mismatch. A mistake in
// the parser's checks would let malformed text cause a panic or another error.
func FuzzRead(f *testing.F) {
	f.Add(head + `{"kind":"input","at_ms":1,"input":{}}` + "\n" + `{"kind":"outcome","at_ms":1,"expect":{"seen":{"min":1}}}`)
	f.Add(head + `{"kind":"outcome","at_ms":-1}`)
	f.Fuzz(func(t *testing.T, text string) {
		err := run(text)
		if err != nil && !errors.Is(err, kqreplay.ErrMalformed) && !errors.Is(err, kqreplay.ErrOutcomeMismatch) {
			t.Errorf("%q: %v", text, err)
		}
	})
}
