package kqentry

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// Recorder is told of each call once it has ended.
	Recorder interface {
		Ended(r Record, now time.Time)
	}

	// Record is one call as its entry saw it.
	Record struct {
		Call    *kqcall.Call
		Outcome kqcall.Outcome
		// Status is the HTTP status that the caller gets.
		Status int
		// Version is the configuration that the call was matched by, 0 where none
		// was.
		Version kqname.ConfigVersion
		Tries   []Try
	}

	// Try is one sending of a call, with what was known when its upstream was
	// chosen.
	Try struct {
		To      kqname.Node
		Version kqname.UpstreamVersion
		// Sent is how many calls from this entry were on their way to the upstream.
		Sent int
		// Load is what its gate had told last, LoadAge ago.
		Load    kqcall.Load
		LoadAge time.Duration
		// Left is the time until the deadline, Took that until the outcome.
		Left, Took time.Duration
		Outcome    kqcall.Outcome
		// Status is the upstream's, 0 where it gave none.
		Status int
		// Again tells that the call was sent to another upstream after this one.
		Again bool
		// Ejected tells that the upstream is left out from now on.
		Ejected bool
	}

	forgetful struct{}
)

// Ended implements Recorder.
func (forgetful) Ended(Record, time.Time) {}

// WithRecorder has r told of each call.
func WithRecorder(r Recorder) Option { return func(e *Entry) { e.recorder = r } }

// chosen notes what an upstream was chosen by.
func chosen(p *kqpick.Peer, c *kqcall.Call, now time.Time) Try {
	load, age := p.Known(now)
	return Try{To: p.Node, Version: p.Version, Sent: p.Sent(), Load: load, LoadAge: age, Left: c.Deadline.Sub(now)}
}
