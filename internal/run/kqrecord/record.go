package kqrecord

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqentry"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
)

// failureStatus is the lowest HTTP status that an upstream fails with.
const failureStatus = 500

type (
	// Recorder writes calls' lines. It is safe for concurrent use.
	Recorder struct {
		call, gate *logrus.Entry
		counter    Counter
		sample     atomic.Int64
		perReason  atomic.Int64

		mu      sync.Mutex
		windows map[string]*window
	}

	// Counter counts lines that are left out and takes the times of calls' stages.
	Counter interface {
		LeftOut(reason string)
		Took(stage string, d time.Duration)
	}

	// window counts one reason's lines in one second.
	window struct {
		second  int64
		written int64
		leftOut int64
	}
)

// New returns a recorder that keeps one in sample successes, none at 0, and at
// most perReason lines a second for each reason; counter counts the others.
func New(call, gate *logrus.Entry, sample, perReason int, counter Counter) *Recorder {
	r := &Recorder{call: call, gate: gate, counter: counter, windows: make(map[string]*window)}
	r.Set(sample, perReason)
	return r
}

// Set changes what is kept.
func (r *Recorder) Set(sample, perReason int) {
	r.sample.Store(int64(sample))
	r.perReason.Store(int64(perReason))
}

// Ended implements kqentry.Recorder.
func (r *Recorder) Ended(e kqentry.Record, now time.Time) {
	r.counter.Took("call", now.Sub(e.Call.Arrived))
	plain := e.Outcome.Result == kqcall.Answered && e.Status < failureStatus && len(e.Tries) == 1
	if !r.keeps(e.Call.ID, "call "+string(e.Outcome.Reason), plain, now) {
		return
	}
	c := e.Call
	fields := logrus.Fields{
		"id": c.ID, "event": "ended", "result": e.Outcome.Result, "status": e.Status, "route": c.Route, "service": c.Service,
		"version": e.Version, "took_ms": ms(now.Sub(c.Arrived)), "class": c.Class, "idempotent": c.Idempotent,
	}
	if e.Outcome.Reason != kqcall.NoReason {
		fields["reason"] = e.Outcome.Reason
	}
	if !c.Deadline.IsZero() {
		fields["left_ms"] = ms(c.Deadline.Sub(now))
	}
	if e.Outcome.RetryAfter > 0 {
		fields["retry_after_ms"] = ms(e.Outcome.RetryAfter)
	}
	if len(e.Tries) > 0 {
		fields["tries"] = tries(e.Tries)
	}
	r.call.WithFields(fields).Info("Call ended.")
}

// Gated implements kqgate.Recorder.
func (r *Recorder) Gated(g kqgate.Record, now time.Time) {
	r.counter.Took("queue", g.Waited)
	if g.Took > 0 {
		r.counter.Took("upstream", g.Took)
	}
	plain := g.Outcome.Result == kqcall.Answered && g.Status < failureStatus
	if !r.keeps(g.Call.ID, "gate "+string(g.Outcome.Reason), plain, now) {
		return
	}
	fields := logrus.Fields{
		"id": g.Call.ID, "event": "gated", "result": g.Outcome.Result, "status": g.Status, "service": g.Call.Service,
		"instance": g.Instance, "running": g.Load.Running, "waiting": g.Load.Waiting, "slots": g.Load.Slots,
		"waited_ms": ms(g.Waited), "took_ms": ms(g.Took), "left_ms": ms(g.Call.Deadline.Sub(now)), "class": g.Call.Class,
		"expected_ms": ms(g.Load.Work),
	}
	if g.Outcome.Reason != kqcall.NoReason {
		fields["reason"] = g.Outcome.Reason
	}
	r.gate.WithFields(fields).Info("Call left the gate.")
}

// keeps decides on a line, and tells now and then what was left out.
func (r *Recorder) keeps(id kqcall.ID, reason string, plain bool, now time.Time) bool {
	if plain {
		sample := r.sample.Load()
		return sample > 0 && xxhash.Sum64String(string(id))%uint64(sample) == 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.windows[reason]
	if !ok {
		w = &window{}
		r.windows[reason] = w
	}
	if second := now.Unix(); second != w.second {
		if w.leftOut > 0 {
			r.call.WithFields(logrus.Fields{"event": "left_out", "of": reason, "lines": w.leftOut}).Info("Lines were left out.")
		}
		*w = window{second: second}
	}
	if w.written >= r.perReason.Load() {
		w.leftOut++
		r.counter.LeftOut(reason)
		return false
	}
	w.written++
	return true
}

func tries(list []kqentry.Try) []map[string]any {
	lines := make([]map[string]any, 0, len(list))
	for _, t := range list {
		line := map[string]any{
			"to": t.To, "sent": t.Sent, "running": t.Load.Running, "waiting": t.Load.Waiting, "slots": t.Load.Slots,
			"load_age_ms": ms(t.LoadAge), "left_ms": ms(t.Left), "took_ms": ms(t.Took), "result": t.Outcome.Result,
			"again": t.Again, "upstream_version": t.Version,
		}
		if t.Outcome.Reason != kqcall.NoReason {
			line["reason"] = t.Outcome.Reason
		}
		if t.Status > 0 {
			line["status"] = t.Status
		}
		if t.Ejected {
			line["ejected"] = true
		}
		lines = append(lines, line)
	}
	return lines
}

// ms gives a time in milliseconds with a tenth.
func ms(d time.Duration) float64 { return float64(d.Microseconds()/100) / 10 }
