package kqsoak_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoak"
)

// Somebody plays a seed again to see what it found, and other faults come. The run is
// clean, and nobody learns what went wrong the first time.
func TestASeedDrawsTheSamePlan(t *testing.T) {
	for seed := range uint64(50) {
		o := kqsoak.Options{Seed: seed, Nodes: 4, For: 30 * time.Second}
		if a, b := kqsoak.Draw(o), kqsoak.Draw(o); !reflect.DeepEqual(a, b) {
			t.Fatalf("seed %d drew\n%v\nand\n%v", seed, a, b)
		}
		if reflect.DeepEqual(kqsoak.Draw(o), kqsoak.Draw(kqsoak.Options{Seed: seed + 1, Nodes: 4, For: o.For})) {
			t.Errorf("seeds %d and %d draw the same", seed, seed+1)
		}
	}
}

// A soak finds only what its faults reach: reloads that meet leaving and starting
// nodes, and leaves that overlap. If the plan drew none, its runs would be clean for
// nothing.
func TestPlansReachLeavingAndStartingNodes(t *testing.T) {
	reloads, starts, overlaps := 0, 0, 0
	for seed := range uint64(20) {
		var last time.Duration
		leaves := make(map[int]time.Duration)
		for _, f := range kqsoak.Draw(kqsoak.Options{Seed: seed, Nodes: 4, For: 20 * time.Second, Planned: true}) {
			if f.At < last || f.Target < 0 || f.Target > 3 {
				t.Fatalf("seed %d: %+v after %v", seed, f, last)
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
		t.Errorf("20 plans reload a leaving node %d times, a starting one %d times, and %d leaves overlap", reloads, starts, overlaps)
	}
}
