package kqallowance_test

import (
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqallowance"
)

// Every upstream of a service fails every call while 10, and then 90, nodes send
// it 1,700 calls in ten seconds, all of which they may send again. The sendings
// beyond the first must stay within the operators' bound for all nodes together,
// or the upstreams that could recover get twice their load.
func TestAllNodesTogetherStayWithinTheBound(t *testing.T) {
	bound := kqallowance.Bound{Ratio: 0.2, Slack: 56}
	const calls = 1700
	for _, nodes := range []int{1, 10, 90} {
		again := 0
		for n := range nodes {
			a := kqallowance.New(bound)
			for range calls/nodes + min(n, calls%nodes)/max(n, 1) {
				a.Earn(nodes)
				if a.Spend(nodes) {
					again++
				}
			}
		}
		// A node may always save up one sending.
		most := bound.Ratio*calls + max(bound.Slack, float64(nodes))
		if float64(again) > most {
			t.Errorf("%d nodes sent %d again, the bound is %.0f", nodes, again, most)
		}
		if float64(again) < bound.Ratio*calls/2 {
			t.Errorf("%d nodes sent only %d again of %.0f allowed", nodes, again, most)
		}
	}
}

// Lookups come at a service because runs that made them before are sent again; the bound
// counts them there like second sendings. With every eighth call of that kind, the node's
// own second sendings must leave room for them.
func TestRepeatsOfRepeatsCount(t *testing.T) {
	bound := kqallowance.Bound{Ratio: 0.2, Slack: 56}
	const calls, nodes = 4000, 10
	a := kqallowance.New(bound)
	again := 0
	for n := range calls {
		if n%8 == 0 {
			a.Repeated(nodes)
			again++
		} else {
			a.Earn(nodes)
		}
		if a.Spend(nodes) {
			again++
		}
	}
	if most := bound.Ratio*calls + bound.Slack/nodes; float64(again) > most {
		t.Errorf("%d came again, the bound is %.0f", again, most)
	}
}

// Nodes are restarted one after the other while every call fails. Each must not bring its
// part of the slack along anew.
func TestRestartsBringNoNewSlack(t *testing.T) {
	bound := kqallowance.Bound{Ratio: 0.2, Slack: 56}
	const calls, nodes, restarts = 20, 10, 50
	again := 0
	for range restarts {
		a := kqallowance.New(bound)
		for range calls {
			a.Earn(nodes)
			if a.Spend(nodes) {
				again++
			}
		}
	}
	if most := bound.Ratio * calls * restarts; float64(again) > most {
		t.Errorf("%d came again, the bound's ratio allows %.0f", again, most)
	}
}
