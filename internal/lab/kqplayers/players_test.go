package kqplayers_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqplayers"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqreplay"
)

// A change to a decision package that alters the outcome of a recorded trace must
// fail with the line of that outcome.
func TestRecordedTraces(t *testing.T) {
	files, err := filepath.Glob("../../../testdata/traces/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("found traces %v with error %v, want at least one", files, err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			f, err := os.Open(file)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = f.Close() }()
			trace, err := kqreplay.Read(file, f)
			if err != nil {
				t.Fatal(err)
			}
			newPlayer, ok := kqplayers.All()[trace.Decision]
			if !ok {
				t.Fatalf("decision %q has no player", trace.Decision)
			}
			if _, err := trace.Run(newPlayer, func(int, time.Duration, kqreplay.Decision) {}); err != nil {
				t.Error(err)
			}
		})
	}
}
