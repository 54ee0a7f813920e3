package kqcall_test

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

// Nodes of the previous release send seven fields and read the first seven.
func TestSlowdownIsAnOptionalField(t *testing.T) {
	plain := kqcall.Load{Running: 1, Waiting: 2, Slots: 3, RecentDuration: 4 * time.Millisecond, ExpectedWork: 5 * time.Millisecond, Wait: 6 * time.Millisecond}
	slowed := plain
	slowed.Slowdown = 2.5
	for want, l := range map[string]kqcall.Load{"1;2;3;4000;0;5000;6000": plain, "1;2;3;4000;0;5000;6000;2500": slowed} {
		var h fasthttp.ResponseHeader
		l.Write(&h)
		if got := string(h.Peek("Kq-Load")); got != want {
			t.Errorf("load is sent as %q, want %q", got, want)
		}
		if got, ok := kqcall.ReadLoad(&h); !ok || got != l {
			t.Errorf("load %+v read as %+v, %v", l, got, ok)
		}
	}
}
