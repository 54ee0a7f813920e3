package kqconditionlog_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/run/kqconditionlog"
	"github.com/kumquatgw/kumquatgw/internal/run/kqlog"
	"github.com/kumquatgw/kumquatgw/internal/run/kqmetric"
)

// Guards against a log that grows with each answer of an upstream that changes its limit all
// the time.
func TestChangingLimitLogsBoundedLines(t *testing.T) {
	var out bytes.Buffer
	logger, err := kqlog.New(&out, "info", "json")
	if err != nil {
		t.Fatal(err)
	}
	l := kqconditionlog.New(logger.Part("upstream"), kqmetric.New())
	u, now := kqlocal.Announcement{Instance: "i-1", Service: "store", Version: "v1"}, time.Unix(1000, 0)
	l.LimitChanged(kqgate.LimitChange{Upstream: u, IsLimited: true, NewLimit: 24}, now)
	for i := range 1000 {
		l.LimitChanged(kqgate.LimitChange{Upstream: u, WasLimited: true, IsLimited: true, PreviousLimit: 24, NewLimit: float64(i)}, now)
	}
	text := out.String()
	if n := strings.Count(text, "\n"); n > 20 || !strings.Contains(text, `"event":"limit_named"`) || !strings.Contains(text, `"limit_per_s":24`) {
		t.Errorf("%d lines, want a few that begin with the first limit: %.500s", n, text)
	}
}
