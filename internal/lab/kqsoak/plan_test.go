package kqsoak_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoak"
)

// A seed that gives a different plan on each run cannot reproduce a failure: the second
// run comes out clean, and the cause of the first failure stays unknown.
func TestSeedDeterminesThePlan(t *testing.T) {
	for seed := range uint64(50) {
		o := kqsoak.Options{Seed: seed, Nodes: 4, For: 30 * time.Second}
		if a, b := kqsoak.Generate(o), kqsoak.Generate(o); !reflect.DeepEqual(a, b) {
			t.Fatalf("seed %d generated two plans:\n%v\nand\n%v", seed, a, b)
		}
		if reflect.DeepEqual(kqsoak.Generate(o), kqsoak.Generate(kqsoak.Options{Seed: seed + 1, Nodes: 4, For: o.For})) {
			t.Errorf("seeds %d and %d generate the same plan", seed, seed+1)
		}
	}
}

// A soak run finds only bugs that its faults reach. Without reloads of leaving and of
// starting nodes and without overlapping leaves, a clean run would prove nothing about
// them.
func TestPlansReloadLeavingAndStartingNodes(t *testing.T) {
	reloads, starts, overlaps := 0, 0, 0
	for seed := range uint64(20) {
		var last time.Duration
		leaves := make(map[int]time.Duration)
		for _, f := range kqsoak.Generate(kqsoak.Options{Seed: seed, Nodes: 4, For: 20 * time.Second, PlannedOnly: true}) {
			if f.At < last || f.Target < 0 || f.Target > 3 {
				t.Fatalf("seed %d: fault %+v is out of order after %v, or its target does not exist", seed, f, last)
			}
			last = f.At
			switch f.Kind {
			case kqsoak.Leave:
				for _, at := range leaves {
					if f.At-at < 2*time.Second {
						overlaps++
					}
				}
				leaves[f.Target] = f.At
				starts += len(f.AfterStart)
			case kqsoak.Reload:
				if at, ok := leaves[f.Target]; ok && f.At-at < 2*time.Second {
					reloads++
				}
			}
		}
	}
	if reloads < 40 || starts < 40 || overlaps < 20 {
		t.Errorf("20 plans have %d reloads of leaving nodes, %d of starting nodes and %d overlapping leaves; want at least 40, 40 and 20", reloads, starts, overlaps)
	}
}

// Guards against plans in which no limit ends late enough for calls to show that a node keeps it: an
// upstream or node that is replaced forgets its limit, and another upstream without one takes the calls.
func TestPlansEndWithALimitOfAService(t *testing.T) {
	for seed := range uint64(20) {
		o := kqsoak.Options{Seed: seed, Nodes: 4, For: 20 * time.Second}
		limited := make(map[int]bool)
		for _, f := range kqsoak.Generate(o) {
			if f.At >= o.For+5*time.Second && f.Kind == kqsoak.Limit {
				limited[f.Target] = true
			}
		}
		if len(limited) < 2 || limited[0] != limited[2] || limited[1] != limited[3] {
			t.Errorf("seed %d: the plan ends with limits at the upstreams %v, want those of a service", seed, limited)
		}
	}
}
