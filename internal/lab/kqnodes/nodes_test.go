package kqnodes_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqnodes"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

// Every run commits this document. A document that validation refuses would end each run
// before its fleet starts, and a smaller one would make the figures of nodes that hold
// little configuration look like those of a large mesh.
func TestDocumentIsValid(t *testing.T) {
	d := kqnodes.Document(3)
	if problems := kqdocument.Validate(d); len(problems) > 0 {
		t.Fatalf("document is not valid: %v", problems[0])
	}
	if len(d.Services) != 89 || len(d.Routes) < 1900 {
		t.Fatalf("document has %d services and %d routes, want 89 and at least 1900", len(d.Services), len(d.Routes))
	}
}

// A run whose counters are not connected reports zeros, and one that observes the idle
// fleet for less than a heartbeat reports a negative cost of changes; either would pass
// for a result. Plan.Idle is shorter than a heartbeat here, so that the run depends on the
// minimum idle time.
func TestMeasuresAFleet(t *testing.T) {
	r, err := kqnodes.New(kqnodes.Plan{
		Counts: []int{8}, Strategy: "direct", Fault: kqnodes.FaultNone, Changes: 2, Idle: 100 * time.Millisecond,
	}).Run(t.Context(), func(kqnodes.Run) {})
	if err != nil {
		t.Fatal(err)
	}
	if run := r.Runs[0]; run.Convergence.Max <= 0 || run.BytesPerChange <= 0 || run.VersionRegressions != 0 {
		t.Fatalf("run %+v, want convergence and bytes above 0 and no version regressions", run)
	}
}
