package kqprogress_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
)

// Guards against a step or a rollback that is undone by a message that is reordered,
// duplicated or minutes late. A version that was rolled back would get calls again, and
// nodes would end with different states.
func TestMessagesInAnyOrderHaveOneResult(t *testing.T) {
	message := rapid.Custom(func(t *rapid.T) kqprogress.Progress {
		return kqprogress.Progress{
			Step:       rapid.IntRange(0, 4).Draw(t, "step"),
			RolledBack: rapid.Bool().Draw(t, "rolled_back"),
			Why:        rapid.SampledFrom([]string{"", "errors", "slower"}).Draw(t, "why"),
			Final:      rapid.SampledFrom([]kqprogress.Final{kqprogress.Open, kqprogress.Open, kqprogress.Done, kqprogress.FinalRollback}).Draw(t, "final"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfN(message, 1, 8).Draw(t, "sent")
		reordered := rapid.Permutation(append(sent, sent...)).Draw(t, "reordered")
		var inOrder, outOfOrder kqprogress.Progress
		for _, m := range sent {
			before := inOrder
			inOrder = kqprogress.Join(inOrder, m)
			if inOrder.Step < before.Step || before.RolledBack && !inOrder.RolledBack || !before.Open() && inOrder.Open() {
				t.Fatalf("%+v undid %+v: %+v", m, before, inOrder)
			}
		}
		for _, m := range reordered {
			outOfOrder = kqprogress.Join(outOfOrder, m)
		}
		inOrder.Why, outOfOrder.Why = "", ""
		if inOrder != outOfOrder {
			t.Fatalf("in order the result is %+v, reordered %+v", inOrder, outOfOrder)
		}
	})
}
