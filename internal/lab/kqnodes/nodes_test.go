package kqnodes_test

import (
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqnodes"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

func TestDocumentIsValid(t *testing.T) {
	d := kqnodes.Document(3)
	if problems := kqdocument.Validate(d); len(problems) > 0 {
		t.Fatalf("document is not valid: %v", problems[0])
	}
	if len(d.Services) != 89 || len(d.Routes) < 1900 {
		t.Fatalf("document has %d services and %d routes, want 89 and at least 1900", len(d.Services), len(d.Routes))
	}
}

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
