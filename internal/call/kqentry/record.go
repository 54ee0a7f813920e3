package kqentry

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// Recorder receives a record of each call once its outcome is known, which is before
	// the body of a streamed response has been passed on.
	Recorder interface {
		Ended(r Record, now time.Time)
	}

	// Record describes one call as its entry saw it.
	Record struct {
		Call    *kqcall.Call
		Outcome kqcall.Outcome
		// Status is the HTTP status that the caller gets.
		Status int
		// Version is the configuration version that matched the call, 0 if none did.
		Version  kqname.ConfigVersion
		Attempts []Attempt
	}

	// Attempt is one attempt to send a call to an upstream, with what the entry knew of the
	// upstream when it picked it.
	Attempt struct {
		To      kqname.Node
		Version kqname.UpstreamVersion
		// InFlight is the number of calls from this entry in flight to the upstream, this
		// one included.
		InFlight int
		// Load is the load that the upstream's gate last reported, LoadAge ago.
		Load    kqcall.Load
		LoadAge time.Duration
		// TimeLeft is the time from the beginning of the attempt to the call's deadline,
		// Took the time until the attempt's outcome.
		TimeLeft, Took time.Duration
		Outcome        kqcall.Outcome
		// ResponseError says why the response of the gate, or of this node's own upstream, is
		// malformed; nil if it is not.
		ResponseError error
		// Status is the HTTP status of the upstream's answer, 0 if the call was not
		// answered.
		Status int
		// RetryAllowed reports whether a further attempt was allowed. None follows if no other
		// upstream is left.
		RetryAllowed bool
		// Ejected reports whether the upstream is ejected after this attempt.
		Ejected bool
	}

	// noopRecorder discards records.
	noopRecorder struct{}
)

// Ended implements Recorder.
func (noopRecorder) Ended(Record, time.Time) {}

// WithRecorder sets the recorder that gets a record of each call.
func WithRecorder(r Recorder) Option { return func(e *Entry) { e.recorder = r } }

// newAttempt returns an attempt to send the call to p, which was just picked.
func newAttempt(p *kqpick.PoolUpstream, c *kqcall.Call, now time.Time) Attempt {
	load, age := p.LastReport(now)
	return Attempt{To: p.Node, Version: p.Version, InFlight: p.InFlight(), Load: load, LoadAge: age, TimeLeft: c.Deadline.Sub(now)}
}
