package kqallowance_test

import (
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqallowance"
)

// All upstreams of a service fail every call while 1, 10 or 90 nodes send it 1,700 calls
// in ten seconds, all of which may be retried. The retries of all nodes together must stay
// within the operators' bound, with a slack of at least one retry per node, or upstreams
// that could recover get twice their load.
func TestAllNodesTogetherStayWithinTheBound(t *testing.T) {
	bound := kqallowance.Bound{Ratio: 0.2, Slack: 56}
	const calls = 1700
	for _, nodes := range []int{1, 10, 90} {
		repeats := 0
		for n := range nodes {
			a := kqallowance.New(bound)
			// Nodes 1 to calls%nodes send one call more than the others.
			for range calls/nodes + min(n, calls%nodes)/max(n, 1) {
				a.Earn(nodes)
				if a.Spend(nodes) {
					repeats++
				}
			}
		}
		// Each node may always accumulate one retry.
		maxRepeats := bound.Ratio*calls + max(bound.Slack, float64(nodes))
		if float64(repeats) > maxRepeats {
			t.Errorf("%d nodes sent %d retries, want at most %.0f", nodes, repeats, maxRepeats)
		}
		if float64(repeats) < bound.Ratio*calls/2 {
			t.Errorf("%d nodes sent only %d retries, %.0f are allowed", nodes, repeats, maxRepeats)
		}
	}
}

// Nested calls are repeated because their calling calls were retried, and the bound counts
// them as retries. With every eighth call repeated, the node's own retries must leave room
// for them.
func TestRepeatedCallsSpendTheAllowance(t *testing.T) {
	bound := kqallowance.Bound{Ratio: 0.2, Slack: 56}
	const calls, nodes = 4000, 10
	a := kqallowance.New(bound)
	repeats := 0
	for n := range calls {
		if n%8 == 0 {
			a.RecordRepeat(nodes)
			repeats++
		} else {
			a.Earn(nodes)
		}
		if a.Spend(nodes) {
			repeats++
		}
	}
	if maxRepeats := bound.Ratio*calls + bound.Slack/nodes; float64(repeats) > maxRepeats {
		t.Errorf("%d calls were repeated, want at most %.0f", repeats, maxRepeats)
	}
}

// Nodes are restarted one after the other while every call fails. No restart may renew a
// node's share of the slack.
func TestRestartsDoNotRenewSlack(t *testing.T) {
	bound := kqallowance.Bound{Ratio: 0.2, Slack: 56}
	const calls, nodes, restarts = 20, 10, 50
	repeats := 0
	for range restarts {
		a := kqallowance.New(bound)
		for range calls {
			a.Earn(nodes)
			if a.Spend(nodes) {
				repeats++
			}
		}
	}
	if maxRepeats := bound.Ratio * calls * restarts; float64(repeats) > maxRepeats {
		t.Errorf("%d calls were retried, want at most the ratio's %.0f", repeats, maxRepeats)
	}
}
