package kqledger_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqledger"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Guards against calls that are counted twice or never when gates' reports are reordered,
// duplicated or lost and replaced by the next. They would make one version look better than
// it is.
func TestReportsInAnyOrderCountEachCallOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []kqledger.Report
		want := uint32(0)
		for _, node := range []kqname.Node{"a", "b"} {
			gate := kqledger.New(kqledger.Source{Node: node, Boot: 1})
			for range rapid.IntRange(1, 4).Draw(t, "reports") {
				calls := rapid.IntRange(1, 50).Draw(t, "calls")
				for range calls {
					gate.Count("route", func(r *kqledger.Row) { r.New.Count(time.Millisecond, false) })
				}
				want += uint32(calls)
				r, ok := gate.Report()
				if !ok {
					t.Fatal("a gate with new calls has no report")
				}
				reports = append(reports, r)
			}
		}
		ledger := kqledger.New(kqledger.Source{Node: "c"})
		got := uint32(0)
		for _, r := range rapid.Permutation(append(reports, reports...)).Draw(t, "order") {
			ledger.Merge(r)
			for _, p := range ledger.Take() {
				got += p.New.Calls
			}
		}
		if got != want {
			t.Fatalf("counted %d calls of %d", got, want)
		}
	})
}

// Guards against reports of a service with very many routes that are so large that they
// crowd out other control traffic.
func TestReportIsBounded(t *testing.T) {
	gate := kqledger.New(kqledger.Source{Node: "a"})
	for route := range 200 {
		for bucket := range kqevidence.Buckets {
			gate.Count(kqname.Route(time.Duration(route).String()), func(r *kqledger.Row) {
				for range 300 {
					r.New.Count(kqevidence.Edge(bucket), true)
				}
			})
		}
	}
	r, _ := gate.Report()
	size := 0
	for _, row := range r.Rows {
		for _, c := range []kqevidence.Cell{row.Old, row.New} {
			data, err := c.MarshalBinary()
			if err != nil {
				t.Fatal(err)
			}
			size += len(data)
		}
	}
	// 450 bytes per row: an encoded cell takes at most 298, and the empty Old cell takes 2.
	if len(r.Rows) > kqevidence.MaxRoutes || size > kqevidence.MaxRoutes*450 {
		t.Errorf("the report is too large: %d rows, %d bytes in all", len(r.Rows), size)
	}
}
