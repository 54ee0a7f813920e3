package kqrecord

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqentry"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// minFailureStatus is the lowest HTTP status of an upstream that counts as a
// failure.
const minFailureStatus = 500

type (
	// Recorder writes the log lines of calls. It is safe for concurrent use.
	Recorder struct {
		callLog, gateLog *logrus.Entry
		counter          Counter
		sampleEvery      atomic.Int64
		linesPerReason   atomic.Int64

		mu      sync.Mutex
		windows map[string]*rateWindow
	}

	// Counter counts suppressed lines and observes the durations of calls' stages.
	Counter interface {
		LineSuppressed(reason string)
		// WorkspaceRefused counts a refused call of a workspace.
		WorkspaceRefused(w kqname.Workspace, r kqcall.Reason)
		// Took observes the duration of a stage: "call", "queue" or "upstream".
		Took(stage string, d time.Duration)
	}

	// rateWindow counts the written and suppressed lines of one reason in one second.
	rateWindow struct {
		second     int64
		written    int64
		suppressed int64
	}
)

// New returns a recorder that logs one in sampleEvery routine successes, or none if it
// is 0, and at most linesPerReason lines of other calls a second for each reason; counter
// counts the suppressed lines.
func New(callLog, gateLog *logrus.Entry, sampleEvery, linesPerReason int, counter Counter) *Recorder {
	r := &Recorder{callLog: callLog, gateLog: gateLog, counter: counter, windows: make(map[string]*rateWindow)}
	r.SetLimits(sampleEvery, linesPerReason)
	return r
}

// SetLimits changes the sampling and the rate limit.
func (r *Recorder) SetLimits(sampleEvery, linesPerReason int) {
	r.sampleEvery.Store(int64(sampleEvery))
	r.linesPerReason.Store(int64(linesPerReason))
}

// Ended implements kqentry.Recorder: it logs a call that ended at the entry. A call that
// was answered without a failure on its first attempt is a routine success.
func (r *Recorder) Ended(e kqentry.Record, now time.Time) {
	r.counter.Took("call", now.Sub(e.Call.Arrived))
	if e.Call.Workspace != "" && e.Outcome.Result == kqcall.NotRun {
		r.counter.WorkspaceRefused(e.Call.Workspace, e.Outcome.Reason)
	}
	routine := e.Outcome.Result == kqcall.Answered && e.Status < minFailureStatus && len(e.Attempts) == 1
	if !r.shouldLog(e.Call.ID, "call "+string(e.Outcome.Reason), routine, now) {
		return
	}
	c := e.Call
	fields := logrus.Fields{
		"id": c.ID, "event": "ended", "result": e.Outcome.Result, "status": e.Status, "route": c.Route, "service": c.Service,
		"version": e.Version, "request": c.Fingerprint, "took_ms": milliseconds(now.Sub(c.Arrived)), "class": c.Class, "idempotent": c.Idempotent,
	}
	if e.Outcome.Reason != kqcall.NoReason {
		fields["reason"] = e.Outcome.Reason
	}
	if c.Workspace != "" {
		fields["workspace"] = c.Workspace
	}
	if c.KeyID != 0 {
		fields["key"] = fmt.Sprintf("%016x", c.KeyID)
	}
	if !c.Deadline.IsZero() {
		fields["left_ms"] = milliseconds(c.Deadline.Sub(now))
	}
	if e.Outcome.RetryAfter > 0 {
		fields["retry_after_ms"] = milliseconds(e.Outcome.RetryAfter)
	}
	if len(e.Attempts) > 0 {
		fields["tries"] = attemptFields(e.Attempts)
	}
	r.callLog.WithFields(fields).Info("Call ended.")
}

// GateCallEnded implements kqgate.Recorder: it logs a call that ended at the gate.
func (r *Recorder) GateCallEnded(g kqgate.Record, now time.Time) {
	r.counter.Took("queue", g.Waited)
	if g.Took > 0 {
		r.counter.Took("upstream", g.Took)
	}
	routine := g.Outcome.Result == kqcall.Answered && g.Status < minFailureStatus
	if !r.shouldLog(g.Call.ID, "gate "+string(g.Outcome.Reason), routine, now) {
		return
	}
	fields := logrus.Fields{
		"id": g.Call.ID, "event": "gated", "result": g.Outcome.Result, "status": g.Status, "service": g.Call.Service,
		"instance": g.Instance, "request": g.Call.Fingerprint, "running": g.Load.Running, "waiting": g.Load.Waiting, "slots": g.Load.Slots,
		"waited_ms": milliseconds(g.Waited), "took_ms": milliseconds(g.Took), "left_ms": milliseconds(g.Call.Deadline.Sub(now)), "class": g.Call.Class,
		"expected_ms": milliseconds(g.Load.RecentDuration),
	}
	if g.Call.Workspace != "" {
		fields["workspace"] = g.Call.Workspace
	}
	if g.Outcome.Reason == kqcall.KeyRevoked {
		fields["key"], fields["key_version"] = fmt.Sprintf("%016x", g.Call.KeyID), g.Call.ConfigVersion
	}
	if g.Outcome.Reason != kqcall.NoReason {
		fields["reason"] = g.Outcome.Reason
	}
	r.gateLog.WithFields(fields).Info("Call ended at the gate.")
}

// shouldLog reports whether to write a call's line. Routine successes are sampled.
// Other calls are limited to linesPerReason lines a second for each reason, which here is
// "call" or "gate" and the reason of the outcome. On the first such call of a later
// second, shouldLog also logs how many lines of the reason were suppressed; this line goes
// to the call log for both kinds of reasons.
func (r *Recorder) shouldLog(id kqcall.ID, reason string, routine bool, now time.Time) bool {
	if routine {
		sampleEvery := r.sampleEvery.Load()
		return sampleEvery > 0 && xxhash.Sum64String(string(id))%uint64(sampleEvery) == 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.windows[reason]
	if !ok {
		w = &rateWindow{}
		r.windows[reason] = w
	}
	if second := now.Unix(); second != w.second {
		if w.suppressed > 0 {
			r.callLog.WithFields(logrus.Fields{"event": "left_out", "of": reason, "lines": w.suppressed}).Info("Log lines were suppressed.")
		}
		*w = rateWindow{second: second}
	}
	if w.written >= r.linesPerReason.Load() {
		w.suppressed++
		r.counter.LineSuppressed(reason)
		return false
	}
	w.written++
	return true
}

// attemptFields returns the log fields of a call's attempts.
func attemptFields(list []kqentry.Attempt) []map[string]any {
	all := make([]map[string]any, 0, len(list))
	for _, t := range list {
		fields := map[string]any{
			"to": t.To, "sent": t.InFlight, "running": t.Load.Running, "waiting": t.Load.Waiting, "slots": t.Load.Slots,
			"load_age_ms": milliseconds(t.LoadAge), "left_ms": milliseconds(t.TimeLeft), "took_ms": milliseconds(t.Took), "result": t.Outcome.Result,
			"again": t.RetryAllowed, "upstream_version": t.Version,
		}
		if t.Outcome.Reason != kqcall.NoReason {
			fields["reason"] = t.Outcome.Reason
		}
		if t.ResponseError != nil {
			fields["response_error"] = t.ResponseError.Error()
		}
		if t.Status > 0 {
			fields["status"] = t.Status
		}
		if t.Ejected {
			fields["ejected"] = true
		}
		all = append(all, fields)
	}
	return all
}

// milliseconds returns d in milliseconds, truncated to a tenth.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()/100) / 10 }
