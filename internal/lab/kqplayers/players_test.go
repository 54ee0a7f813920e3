package kqplayers_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqplayers"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqreplay"
)

// A decision that changes its mind makes a recorded day end otherwise; the
// trace that states the outcome then names the line.
func TestRecordedTraces(t *testing.T) {
	files, err := filepath.Glob("../../../testdata/traces/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("traces %v, %v, want some", files, err)
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
			maker, ok := kqplayers.All()[trace.Decision]
			if !ok {
				t.Fatalf("decision %q has no player", trace.Decision)
			}
			if _, err := trace.Run(maker, func(int, time.Duration, kqreplay.Decision) {}); err != nil {
				t.Error(err)
			}
		})
	}
}
