package kqcall

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// Answered calls have the upstream's own answer.
	Answered Result = "answered"
	// NotRun calls certainly did not run at any upstream.
	NotRun Result = "not_run"
	// Unknown calls may have run; no answer came.
	Unknown Result = "unknown"

	// NoReason goes with Answered.
	NoReason Reason = ""
	// NoRoute tells that no route fits the call.
	NoRoute Reason = "no_route"
	// NoConfig tells that the route's configuration could not be fetched in time.
	NoConfig Reason = "no_config"
	// NoUpstream tells that no upstream of the service takes new work.
	NoUpstream Reason = "no_upstream"
	// QueueFull tells that the gate's queue had no place.
	QueueFull Reason = "queue_full"
	// Overload tells that the service as a whole is full, by what its gates said.
	Overload Reason = "overload"
	// Late tells that the call's deadline passed, or would pass, before it began.
	Late Reason = "late"
	// RolledBack tells that the upstream's version was taken back.
	RolledBack Reason = "rolled_back"
	// Draining tells that the upstream takes no new work, or that a node ended before
	// the call.
	Draining Reason = "draining"
	// Shed tells that the upstream refused with 503 and its service's
	// configuration states that it then has not run.
	Shed Reason = "shed"
	// ConnectFailed tells that no connection could be made, so nothing was sent.
	ConnectFailed Reason = "connect_failed"
	// TooLarge tells that the call's body is over the bound.
	TooLarge Reason = "too_large"
	// Malformed tells that the call's headers cannot be read.
	Malformed Reason = "malformed"
	// TooSlow tells that the call did not arrive whole in time.
	TooSlow Reason = "too_slow"
	// Timeout tells that the deadline passed after the call was sent.
	Timeout Reason = "timeout"
	// Cut tells that the connection broke after the call was sent.
	Cut Reason = "cut"
	// Cancelled tells that the caller went away.
	Cancelled Reason = "cancelled"
	// Crossed tells that the answer carried another call's id.
	Crossed Reason = "crossed"
	// Moved tells that another upstream has taken over the address, and has not
	// run the call.
	Moved Reason = "moved"
	// NoMemory tells that the node has no room for the call's body now.
	NoMemory Reason = "no_memory"
	// Panicked tells that a fault in this program ended the call.
	Panicked Reason = "panicked"
)

type (
	// Result is how a call ended.
	Result string

	// Reason tells why a call did not end with an answer; each has a counter.
	Reason string

	// ID names one call on its way through the nodes.
	ID string

	// Outcome is a call's end and its reason.
	Outcome struct {
		Result Result
		Reason Reason
		// RetryAfter tells the caller when to come back; 0 says nothing.
		RetryAfter time.Duration
	}

	// Load is what a gate tells of its upstream with each response.
	Load struct {
		Running, Waiting, Slots int
		// Work is what the upstream's short calls took lately.
		Work time.Duration
		// Failing is the part of the upstream's last calls that failed, from 0 to 1, as
		// its gate saw it; 0 where that may be chance.
		Failing float64
		// Route is the route that Expected and Wait are told of. It is not passed on:
		// whoever made the call knows it.
		Route kqname.Route
		// Expected is how long the upstream is expected to need for a call of the route,
		// and Wait how long such a call would wait for a slot; 0 where nothing is known.
		Expected, Wait time.Duration
	}

	// Call is one request on its way from caller to upstream. Request and
	// Response belong to whoever serves the call.
	Call struct {
		ID     ID
		Caller kqname.Caller
		// Origin is the service beside whose upstream the call entered the mesh.
		Origin     kqname.Service
		Route      kqname.Route
		Service    kqname.Service
		Version    kqname.UpstreamVersion
		Class      kqdocument.Class
		Idempotent bool
		// RefusalMeansNotRun is the service's contract on its own 503.
		RefusalMeansNotRun bool
		// Depth counts the calls above this one: 0 for an outside caller's.
		Depth int
		// Repeat tells that an upstream may have been sent the call, or one above it,
		// before.
		Repeat bool
		// Starved tells that the upstream failed the call because one that it made in turn
		// was not served for want of room.
		Starved  bool
		Arrived  time.Time
		Deadline time.Time
		// Target is until when an answer has its full worth; zero states nothing.
		Target time.Time
		// MaxAttempts is how many upstreams the call may be sent to; 0 leaves it to
		// the entry.
		MaxAttempts int
		// Instance is the upstream that the call is meant for; "" accepts any.
		Instance kqname.Instance
		// Dialect is what caller and upstream speak; nil means this package's
		// headers.
		Dialect Dialect
		// Cancel ends the call when its caller goes away; nil where nobody can.
		Cancel *Cancel
		// Look has the call cancelled if its caller has gone by now; nil where nobody can
		// tell.
		Look func()
		// Finish is called once a streamed answer has been passed on or cut off;
		// nil where nobody needs to know.
		Finish   func()
		Request  *fasthttp.Request
		Response *fasthttp.Response
	}
)

// Reasons returns every reason, for counters whose labels must be bounded.
func Reasons() []Reason {
	return []Reason{
		NoReason, NoRoute, NoConfig, NoUpstream, QueueFull, Overload, Late, RolledBack, Draining, Shed, ConnectFailed,
		TooLarge, Malformed, TooSlow, Timeout, Cut, Cancelled, Crossed, Moved, NoMemory, Panicked,
	}
}

// OK is the outcome of a call that has its upstream's answer.
func OK() Outcome { return Outcome{Result: Answered} }

// Refuse is the outcome of a call that did not run.
func Refuse(reason Reason) Outcome { return Outcome{Result: NotRun, Reason: reason} }

// Lose is the outcome of a call that may have run.
func Lose(reason Reason) Outcome { return Outcome{Result: Unknown, Reason: reason} }

// Status returns the HTTP status that goes with an outcome that is not an
// answer: 404 for no route, 413 for too large a body, 400 for a malformed
// call, 408 for one that came too slowly, 503 where the call did not run and 504 where it may have.
func (o Outcome) Status() int {
	switch {
	case o.Reason == NoRoute:
		return fasthttp.StatusNotFound
	case o.Reason == TooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case o.Reason == Malformed:
		return fasthttp.StatusBadRequest
	case o.Reason == TooSlow:
		return fasthttp.StatusRequestTimeout
	case o.Result == NotRun:
		return fasthttp.StatusServiceUnavailable
	default:
		return fasthttp.StatusGatewayTimeout
	}
}
