package kqprogress_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
)

// Messages about a move cross each other, come twice and come minutes late. If
// a late one could undo a step, a version that was taken back would get calls
// again, and nodes would end with different states.
func TestMessagesInAnyOrderEndAlike(t *testing.T) {
	message := rapid.Custom(func(t *rapid.T) kqprogress.Progress {
		return kqprogress.Progress{
			Step:       rapid.IntRange(0, 4).Draw(t, "step"),
			RolledBack: rapid.Bool().Draw(t, "rolled_back"),
			Why:        rapid.SampledFrom([]string{"", "errors", "slower"}).Draw(t, "why"),
			Final:      rapid.SampledFrom([]kqprogress.Final{kqprogress.Open, kqprogress.Open, kqprogress.Done, kqprogress.TakenBack}).Draw(t, "final"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfN(message, 1, 8).Draw(t, "sent")
		crossed := rapid.Permutation(append(sent, sent...)).Draw(t, "crossed")
		var first, second kqprogress.Progress
		for _, m := range sent {
			before := first
			first = kqprogress.Join(first, m)
			if first.Step < before.Step || before.RolledBack && !first.RolledBack || !before.Open() && first.Open() {
				t.Fatalf("%+v undid %+v: %+v", m, before, first)
			}
		}
		for _, m := range crossed {
			second = kqprogress.Join(second, m)
		}
		first.Why, second.Why = "", ""
		if first != second {
			t.Fatalf("one order ends as %+v, another as %+v", first, second)
		}
	})
}
