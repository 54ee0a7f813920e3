package kqnode_test

import (
	"context"
	"testing"

	"github.com/kumquatgw/kumquatgw/internal/run/kqnode"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
)

// Log lines are lost when the log's collector stalls. The log itself cannot show the loss,
// so a metric must count the lost lines.
func TestUnwrittenLinesAreCounted(t *testing.T) {
	s := kqsettings.Default()
	s.Node.Name, s.Node.Domain = "counted", "one"
	s.Node.EntryListen, s.Node.LocalListen, s.Node.GateListen, s.Node.ControlListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	n, err := kqnode.New(s, kqfakestore.New(), kqnode.WithUnwrittenLines(func() uint64 { return 7 }))
	if err != nil {
		t.Fatal(err)
	}
	ctx, kill := context.WithCancelCause(t.Context())
	kill(kqnode.ErrKilled)
	if err := n.Run(ctx); err != nil {
		t.Fatal(err)
	}
	families, err := n.Metrics().Registry().Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == "kumquatgw_log_lines_unwritten_total" {
			if got := f.GetMetric()[0].GetCounter().GetValue(); got != 7 {
				t.Errorf("counted %v unwritten lines, want 7", got)
			}
			return
		}
	}
	t.Error("the counter of unwritten lines is missing")
}
