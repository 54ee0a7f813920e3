package kqname_test

import (
	"strings"
	"testing"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Guards against a name that nodes refuse although they can work with it, and against one that
// ends a header's line or a field in it.
func TestUsable(t *testing.T) {
	for name, want := range map[string]bool{
		"store": true, "Store": true, "a_b-c.d+e~f:80/g": true, "\u00edndice": true, strings.Repeat("x", 253): true,
		"": false, "a b": false, "a\r\nb": false, "a;b": false, `a"b`: false, `a\b`: false, "a\x7fb": false, "a\u202eb": false, "a\u00a0b": false,
		"\xff": false, strings.Repeat("x", 254): false,
	} {
		if got := kqname.Usable(name); got != want {
			t.Errorf("%q: %v, want %v", name, got, want)
		}
		if kqname.Valid(name) && !kqname.Usable(name) {
			t.Errorf("%q is valid and not usable", name)
		}
	}
}
