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
)

// count counts lines that were left out.
type count int

// LeftOut implements kqrecord.Counter.
func (c *count) LeftOut(string) { *c++ }

// Took implements kqrecord.Counter.
func (c *count) Took(string, time.Duration) {}

func recorder(t testing.TB, sample, perReason int, counter kqrecord.Counter) (*kqrecord.Recorder, *bytes.Buffer) {
	t.Helper()
	var out bytes.Buffer
	logger, err := kqlog.New(&out, "info", "json")
	if err != nil {
		t.Fatal(err)
	}
	return kqrecord.New(logger.Part("call"), logger.Part("gate"), sample, perReason, counter), &out
}

func ended(id string, o kqcall.Outcome, status int) kqentry.Record {
	return kqentry.Record{
		Call: &kqcall.Call{ID: kqcall.ID(id)}, Outcome: o, Status: status,
		Tries: []kqentry.Try{{To: "b", Outcome: o, Status: status}},
	}
}

// An overload refuses thousands of calls a second. Their lines must stay within
// the rate for their reason and the rest be counted, or the log costs the node the
// processor that it lacks.
func TestRefusalsAreBounded(t *testing.T) {
	var counted count
	r, out := recorder(t, 0, 10, &counted)
	now := time.Unix(1000, 0)
	for i := range 1000 {
		r.Ended(ended(fmt.Sprint(i), kqcall.Refuse(kqcall.QueueFull), 503), now)
	}
	r.Ended(ended("later", kqcall.Refuse(kqcall.QueueFull), 503), now.Add(time.Second))
	if lines := strings.Count(out.String(), `"event":"ended"`); lines != 11 || counted != 990 {
		t.Errorf("%d lines, %d counted", lines, counted)
	}
	if !strings.Contains(out.String(), `"lines":990`) {
		t.Error("nothing tells what was left out")
	}
}

// An engineer looks for one successful call on two nodes. Sampling must keep the
// lines of the same calls on both, or half of each call's way is missing.
func TestNodesSampleTheSameCalls(t *testing.T) {
	entry, first := recorder(t, 8, 10, new(count))
	gate, second := recorder(t, 8, 10, new(count))
	now := time.Unix(1000, 0)
	for i := range 400 {
		id := fmt.Sprint("call-", i)
		entry.Ended(ended(id, kqcall.OK(), 200), now)
		gate.Gated(kqgate.Record{Call: &kqcall.Call{ID: kqcall.ID(id)}, Outcome: kqcall.OK(), Status: 200}, now)
		quoted := fmt.Sprintf(`"id":%q`, id)
		if strings.Contains(first.String(), quoted) != strings.Contains(second.String(), quoted) {
			t.Errorf("%s is kept on one node only", id)
		}
	}
	if kept := strings.Count(first.String(), "\n"); kept < 25 || kept > 85 {
		t.Errorf("%d of 400 calls are kept, want about 50", kept)
	}
}

// BenchmarkEnded states what a call's line costs the entry, off, sampled one in
// 64, and kept.
func BenchmarkEnded(b *testing.B) {
	for _, sample := range []int{0, 64, 1} {
		b.Run(fmt.Sprint("one in ", sample), func(b *testing.B) {
			r, out := recorder(b, sample, 20, new(count))
			now := time.Unix(1000, 0)
			ids := make([]kqentry.Record, 1024)
			for i := range ids {
				ids[i] = ended(fmt.Sprint("call-", i), kqcall.OK(), 200)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.Ended(ids[i%len(ids)], now)
			}
			b.ReportMetric(float64(out.Len())/float64(b.N), "logged_bytes/op")
		})
	}
}
