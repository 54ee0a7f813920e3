package kqrecord_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqentry"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/run/kqlog"
	"github.com/kumquatgw/kumquatgw/internal/run/kqrecord"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// suppressedLines is a kqrecord.Counter that counts the suppressed lines.
type suppressedLines int

// LineSuppressed implements kqrecord.Counter.
func (c *suppressedLines) LineSuppressed(string) { *c++ }

// Took implements kqrecord.Counter; it ignores the durations of stages.
func (c *suppressedLines) Took(string, time.Duration) {}

// WorkspaceRefused implements kqrecord.Counter.
func (c *suppressedLines) WorkspaceRefused(kqname.Workspace, kqcall.Reason) {}

func newRecorder(t testing.TB, sample, perReason int, counter kqrecord.Counter) (*kqrecord.Recorder, *bytes.Buffer) {
	t.Helper()
	var out bytes.Buffer
	logger, err := kqlog.New(&out, "info", "json")
	if err != nil {
		t.Fatal(err)
	}
	return kqrecord.New(logger.Part("call"), logger.Part("gate"), sample, perReason, counter), &out
}

func endedCall(id string, o kqcall.Outcome, status int) kqentry.Record {
	return kqentry.Record{
		Call: &kqcall.Call{ID: kqcall.ID(id)}, Outcome: o, Status: status,
		Attempts: []kqentry.Attempt{{To: "b", Outcome: o, Status: status}},
	}
}

// Under overload a node refuses thousands of calls a second. If each wrote a line, logging
// would take CPU time that the node lacks; lines beyond the rate must be counted.
func TestRefusalLinesAreRateLimited(t *testing.T) {
	var suppressed suppressedLines
	r, out := newRecorder(t, 0, 10, &suppressed)
	now := time.Unix(1000, 0)
	for i := range 1000 {
		r.Ended(endedCall(fmt.Sprint(i), kqcall.Refuse(kqcall.QueueFull), 503), now)
	}
	r.Ended(endedCall("later", kqcall.Refuse(kqcall.QueueFull), 503), now.Add(time.Second))
	if lines := strings.Count(out.String(), `"event":"ended"`); lines != 11 || suppressed != 990 {
		t.Errorf("%d lines were written and %d counted as suppressed", lines, suppressed)
	}
	if !strings.Contains(out.String(), `"lines":990`) {
		t.Error("no line states how many lines were suppressed")
	}
}

// An engineer looks for one successful call in the logs of two nodes. Sampling must
// select the same calls on both, or half of a call's lines are missing.
func TestNodesSampleTheSameCalls(t *testing.T) {
	entry, first := newRecorder(t, 8, 10, new(suppressedLines))
	gate, second := newRecorder(t, 8, 10, new(suppressedLines))
	now := time.Unix(1000, 0)
	for i := range 400 {
		id := fmt.Sprint("call-", i)
		entry.Ended(endedCall(id, kqcall.OK(), 200), now)
		gate.GateCallEnded(kqgate.Record{Call: &kqcall.Call{ID: kqcall.ID(id)}, Outcome: kqcall.OK(), Status: 200}, now)
		quoted := fmt.Sprintf(`"id":%q`, id)
		if strings.Contains(first.String(), quoted) != strings.Contains(second.String(), quoted) {
			t.Errorf("%s is logged on one node only", id)
		}
	}
	if logged := strings.Count(first.String(), "\n"); logged < 25 || logged > 85 {
		t.Errorf("%d of 400 calls are logged, want about 50", logged)
	}
}

// BenchmarkEnded measures the cost of a call's log line at the entry: disabled,
// sampled one in 64, and always written.
func BenchmarkEnded(b *testing.B) {
	for _, sample := range []int{0, 64, 1} {
		b.Run(fmt.Sprint("one in ", sample), func(b *testing.B) {
			r, out := newRecorder(b, sample, 20, new(suppressedLines))
			now := time.Unix(1000, 0)
			records := make([]kqentry.Record, 1024)
			for i := range records {
				records[i] = endedCall(fmt.Sprint("call-", i), kqcall.OK(), 200)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.Ended(records[i%len(records)], now)
			}
			b.ReportMetric(float64(out.Len())/float64(b.N), "logged_bytes/op")
		})
	}
}
