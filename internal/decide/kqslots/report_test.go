package kqslots_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqslots"
)

// An upstream without reports must be treated as before reports existed: empty ones, and ones
// that only confirm the announced slots, must not change any decision or load.
func TestNoReportChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain, other := kqslots.New(3, 1), kqslots.New(3, 1)
		now := time.Unix(1_000_000, 0)
		var running [][2]*kqslots.Ticket
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			other.Report(kqcall.ServerReport{HasLoad: rapid.Bool().Draw(t, "load"), Running: 2, Slots: 3}, now)
			var decided [2][]*kqslots.Ticket
			if len(running) > 0 && rapid.Bool().Draw(t, "leave") {
				took := time.Duration(rapid.IntRange(0, 500).Draw(t, "took")) * time.Millisecond
				decided[0], decided[1] = plain.Leave(running[0][0], took, now), other.Leave(running[0][1], took, now)
				running = running[1:]
			} else {
				for i, s := range []*kqslots.Slots{plain, other} {
					ticket := &kqslots.Ticket{Caller: "c", Route: "r", Deadline: now.Add(time.Second), Target: now.Add(600 * time.Millisecond)}
					s.Enter(ticket, now)
					decided[i] = []*kqslots.Ticket{ticket}
				}
			}
			if len(decided[0]) != len(decided[1]) {
				t.Fatalf("%d decisions without and %d with empty reports", len(decided[0]), len(decided[1]))
			}
			for i, a := range decided[0] {
				b := decided[1][i]
				if a.Verdict != b.Verdict || a.Refusal != b.Refusal || a.ExpireAt != b.ExpireAt {
					t.Fatalf("verdict %v (%v) without and %v (%v) with empty reports", a.Verdict, a.Refusal, b.Verdict, b.Refusal)
				}
				if a.Verdict == kqslots.Run {
					running = append(running, [2]*kqslots.Ticket{a, b})
				}
			}
			like := &kqslots.Ticket{Caller: "c", Route: "r"}
			if a, b := plain.LoadFor(like, now), other.LoadFor(like, now); a != b || a.Slowdown != 0 {
				t.Fatalf("load %+v without and %+v with empty reports", a, b)
			}
		}
	})
}

// A report of fewer slots bounds the calls that run while it is fresh, and a false one leaves
// the upstream some.
func TestReportedSlotsBoundRunningCalls(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	allowed := func(r kqcall.ServerReport, age time.Duration) int {
		s := kqslots.New(12, 1)
		s.Report(r, now)
		n := 0
		for range 12 {
			ticket := &kqslots.Ticket{Deadline: now.Add(10 * time.Second)}
			if s.Enter(ticket, now.Add(age)); ticket.Verdict == kqslots.Run {
				n++
			}
		}
		return n
	}
	for _, c := range []struct {
		report kqcall.ServerReport
		age    time.Duration
		want   int
	}{
		{kqcall.ServerReport{HasLoad: true, Slots: 6}, 0, 6},
		{kqcall.ServerReport{HasLoad: true, Slots: 6}, time.Second, 12},
		{kqcall.ServerReport{HasLoad: true, Slots: 1}, 0, 3},
		{kqcall.ServerReport{HasLoad: true, Slots: 2, Running: 8}, 0, 8},
		{kqcall.ServerReport{HasLoad: true, Slots: 50}, 0, 12},
	} {
		if got := allowed(c.report, c.age); got != c.want {
			t.Errorf("after %v, report %+v lets %d calls run, want %d", c.age, c.report, got, c.want)
		}
	}
}
