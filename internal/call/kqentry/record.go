package kqentry

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// Recorder receives a record of each call once it has ended.
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

	// Attempt is one attempt to send a call, with what was known when its upstream was
	// picked.
	Attempt struct {
		To      kqname.Node
		Version kqname.UpstreamVersion
		// InFlight is the number of calls from this entry in flight to the upstream.
		InFlight int
		// Load is the load that the upstream's gate last reported, LoadAge ago.
		Load    kqcall.Load
		LoadAge time.Duration
		// TimeLeft is the time from the attempt to the deadline, Took the time to its
		// outcome.
		TimeLeft, Took time.Duration
		Outcome        kqcall.Outcome
		// Status is the upstream's HTTP status, 0 if it sent none.
		Status int
		// Resent reports whether the call was sent to another upstream after this one.
		Resent bool
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

// newTry returns an attempt with the state by which its upstream was picked.
func newTry(p *kqpick.Peer, c *kqcall.Call, now time.Time) Attempt {
	load, age := p.LastReport(now)
	return Attempt{To: p.Node, Version: p.Version, InFlight: p.InFlight(), Load: load, LoadAge: age, TimeLeft: c.Deadline.Sub(now)}
}
