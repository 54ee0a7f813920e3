package kqcall_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

// Guards against a limit that is taken from a value that does not state one.
func TestUnreadableConditionIsAnError(t *testing.T) {
	for _, c := range []struct {
		limits  []string
		want    float64
		limited bool
	}{
		{nil, 0, false},
		{[]string{"24"}, 24, true},
		{[]string{" 22.3 "}, 22.3, true},
		{[]string{"0"}, 0, true},
		{[]string{".5"}, 0.5, true},
		{[]string{""}, 0, false},
		{[]string{"24", "24"}, 0, false},
		{[]string{"-1"}, 0, false},
		{[]string{"NaN"}, 0, false},
		{[]string{"Inf"}, 0, false},
		{[]string{"1e400"}, 0, false},
		{[]string{"0x10"}, 0, false},
		{[]string{"1_0"}, 0, false},
		{[]string{"24, 12"}, 0, false},
		{[]string{"."}, 0, false},
		{[]string{strings.Repeat("9", 10<<10)}, 0, false},
	} {
		var h fasthttp.ResponseHeader
		for _, v := range c.limits {
			h.Add(kqcall.HeaderLimit, v)
		}
		got := kqcall.ReadCondition(nil, &h)
		if got.Limited != c.limited || got.Limit != c.want || errors.Is(got.Err, kqcall.ErrCondition) == (c.limited || c.limits == nil) {
			t.Errorf("limits %.40q: %+v, want %v, %v", c.limits, got, c.want, c.limited)
		}
		if got.Err != nil && len(got.Err.Error()) > 200 {
			t.Errorf("limits %.40q: the error has %d bytes", c.limits, len(got.Err.Error()))
		}
	}
}

// Guards against an upstream that is taken out of use by a value that does not say so.
func TestUnreadableDepartureIsAnError(t *testing.T) {
	for text, want := range map[string]bool{"1": true, "0": false, "yes": false, "": false, "11": false} {
		var h fasthttp.ResponseHeader
		h.Set(kqcall.HeaderLeaving, text)
		got := kqcall.ReadCondition(nil, &h)
		if got.Leaving != want || errors.Is(got.Err, kqcall.ErrCondition) == want {
			t.Errorf("departure %q: %+v, want %v", text, got, want)
		}
	}
}
