package kqnode_test

import (
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqview"
)

// A node refuses configuration. An operator must be able to read the reason in that node's
// report through any other node, without access to its server.
func TestReportOfAnotherNode(t *testing.T) {
	s := newTLSFleet(t)
	near, far := s.start(t, "near", ""), s.start(t, "far", "")
	s.commit(t)
	far.Node.Metrics().ConfigRefused("invalid")
	var r kqview.Report
	await(t, "the far node reports version 1", func() bool {
		var err error
		r, err = near.Node.Report(t.Context(), "far")
		return err == nil && r.Version == 1
	})
	want := kqview.Count{Name: "config_refused", Reason: "invalid", Value: 1}
	if r.Node != "far" || r.Since.IsZero() || len(r.Counts) == 0 || r.Counts[0] != want {
		t.Errorf("report %+v, want %+v first", r, want)
	}
	if _, err := near.Node.Report(t.Context(), "nobody"); err == nil {
		t.Error("an unknown node has a report")
	}
}
