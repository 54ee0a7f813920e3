package kqcall

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// Answered means that the caller gets the upstream's own response.
	Answered Result = "answered"
	// NotRun means that the call certainly did not run at any upstream.
	NotRun Result = "not_run"
	// Unknown means that the call may have run, but no response came.
	Unknown Result = "unknown"

	// NoReason is the reason of an Answered call.
	NoReason Reason = ""
	// NoRoute means that no route matches the call.
	NoRoute Reason = "no_route"
	// NoConfig means that the route's configuration could not be fetched in time.
	NoConfig Reason = "no_config"
	// NoUpstream means that no upstream of the service takes new work.
	NoUpstream Reason = "no_upstream"
	// QueueFull means that the gate's queue was too long for the call to start in time, or
	// that no further connection to the gate or the upstream was allowed.
	QueueFull Reason = "queue_full"
	// Overload means that the entry refused the call without asking a gate, because the
	// service's gates had refused too many calls before.
	Overload Reason = "overload"
	// NotStartedInTime means that the call did not run before its deadline or its maximum
	// wait in the gate's queue.
	NotStartedInTime Reason = "late"
	// RolledBack means that the upstream's version was rolled back.
	RolledBack Reason = "rolled_back"
	// Draining means that the upstream drains and takes no new work, or that a node that is
	// stopping refused the call or stopped before the call ended.
	Draining Reason = "draining"
	// Evacuated means that the upstream's failure domain is evacuated.
	Evacuated Reason = "evacuated"
	// Cold means that the upstream is cold, or may be, and has got as many calls lately as
	// a cold one bears.
	Cold Reason = "cold"
	// Limited means that the upstream names a limit of calls a second and has got as many.
	Limited Reason = "limited"
	// RefusedByUpstream means that the upstream refused the call and did not run it. It says
	// so by the dialect, or by a 503 if its service's configuration states that this means
	// "not run".
	RefusedByUpstream Reason = "shed"
	// ConnectFailed means that no connection could be made, or that it broke before any
	// byte of the call was sent.
	ConnectFailed Reason = "connect_failed"
	// TooLarge means that the call's headers or body exceed their size limit.
	TooLarge Reason = "too_large"
	// Malformed means that the call cannot be parsed or is nested too deeply, or that the
	// upstream rejected it as malformed and did not run it.
	Malformed Reason = "malformed"
	// TooSlow means that the call did not arrive completely in time.
	TooSlow Reason = "too_slow"
	// Timeout means that the deadline passed after the call was sent, or that the peer it
	// was sent to stayed silent for too long.
	Timeout Reason = "timeout"
	// Cut means that the connection broke after the call was sent.
	Cut Reason = "cut"
	// UpstreamEnded means that the connection broke after the call was sent because the
	// upstream ended.
	UpstreamEnded Reason = "upstream_ended"
	// Cancelled means that the caller disconnected.
	Cancelled Reason = "cancelled"
	// MismatchedResponse means that the response is not the answer to this call: it carries
	// another call's id or no id where one is required, or the dialect rejects it.
	MismatchedResponse Reason = "crossed"
	// MalformedResponse means that the peer the call was sent to did not respond with valid HTTP.
	MalformedResponse Reason = "malformed_response"
	// Quarantined means that upstreams have ended under the same request.
	Quarantined Reason = "quarantined"
	// Misdirected means that another upstream has taken over the address and did not run the
	// call.
	Misdirected Reason = "moved"
	// NoMemory means that the node has no memory for the call's body at the moment.
	NoMemory Reason = "no_memory"
	// NoKey means that the call has no API key, or more than one, and its route needs one.
	NoKey Reason = "no_key"
	// UnknownKey means that no workspace holds the call's API key.
	UnknownKey Reason = "unknown_key"
	// KeyRevoked means that the call's API key was removed while the call waited.
	KeyRevoked Reason = "key_revoked"
	// UnverifiedKey means that no workspace holds the call's API key as far as this node
	// knows, and that it could not find out whether its configuration is the newest.
	UnverifiedKey Reason = "unverified_key"
	// UnknownParent means that the call names a call that it is nested in, but that this
	// process does not know.
	UnknownParent Reason = "unknown_parent"
	// OverRate means that the workspace has used up its rate over all nodes.
	OverRate Reason = "over_rate"
	// Panicked means that a panic in this program ended the call.
	Panicked Reason = "panicked"
)

// quarantineRetryAfter is the Retry-After of calls that are refused as Quarantined. It is long,
// since most of them are refused until an operator clears the request.
const quarantineRetryAfter = time.Minute

// suspectRetryAfter is the Retry-After of calls whose request is being tried by another call.
const suspectRetryAfter = time.Second

type (
	// Result is how a call ended.
	Result string

	// Reason is why a call was not answered. Each reason has its own counter.
	Reason string

	// ID identifies one call in all nodes that it passes through.
	ID string

	// Outcome is the result of a call with its reason.
	Outcome struct {
		Result Result
		Reason Reason
		// RetryAfter is how long the caller should wait before it retries, 0 if
		// unspecified.
		RetryAfter time.Duration
	}

	// Load is the state of an upstream, which its gate reports with each response.
	Load struct {
		// Running and Waiting are numbers of calls. Slots is how many calls the gate runs
		// at once: the announced slots, or fewer if it has learned a lower limit.
		Running, Waiting, Slots int
		// RecentDuration is how long the upstream's short calls took lately.
		RecentDuration time.Duration
		// FailureRate is the upstream's failure rate over the calls of all entries, as
		// package kqfailrate computes it, from 0 to 1. It is 0 if it is so small that the
		// failures may be chance.
		FailureRate float64
		// Route is the route that ExpectedWork and Wait apply to. It is not sent with the
		// load, since the node that made the call knows it.
		Route kqname.Route
		// ExpectedWork is how long the upstream is expected to take for a call of the
		// route, and Wait is how long such a call would wait for a slot. Each is 0 if
		// unknown.
		ExpectedWork, Wait time.Duration
		// Slowdown is how many times longer than usual work takes at this moment by the
		// upstream's reports, which ExpectedWork and RecentDuration include; 0 if it has
		// none.
		Slowdown float64
	}

	// ColdStart is what the configuration says of a service's cold upstreams.
	ColdStart struct {
		// Rate is the number of calls a second that one bears, 0 if there is no bound.
		Rate float64
		// Duration is how long an upstream is cold after its start, 0 if unknown.
		Duration time.Duration
	}

	// Call is one request on its way from caller to upstream. The server that handles
	// the call owns Request and Response.
	Call struct {
		ID     ID
		Caller kqname.Caller
		// Origin is the service whose upstream runs beside the node where the call
		// entered the mesh.
		Origin kqname.Service
		// Fingerprint identifies the request by its content.
		Fingerprint kqfingerprint.Fingerprint
		Route       kqname.Route
		Service     kqname.Service
		Version     kqname.UpstreamVersion
		Class       kqdocument.Class
		Idempotent  bool
		// Workspace is the tenant that the call is made for, empty if there is none, and
		// WorkspaceClass is the tenant's priority, which goes before Class; empty means
		// that it has none.
		Workspace      kqname.Workspace
		WorkspaceClass kqdocument.Class
		// KeyID identifies the API key that the call came with, 0 if there is none, and
		// ConfigVersion is the version by which the entry found it valid.
		KeyID         uint64
		ConfigVersion kqname.ConfigVersion
		// RefusalMeansNotRun reports whether the service guarantees that a call which it
		// answers with 503 did not run.
		RefusalMeansNotRun bool
		// Depth is the number of calls that this one is nested in, 0 for a call from
		// outside.
		Depth int
		// Probing reports whether this node sends no other call of the same request meanwhile.
		Probing bool
		// Repeat reports whether an upstream may have been sent this call, or one that
		// it is nested in, before.
		Repeat bool
		// Starved reports whether a nested call that names this one as its parent was not
		// served for lack of capacity, whatever this call's own outcome.
		Starved  bool
		Arrived  time.Time
		Deadline time.Time
		// Target is when the response should arrive to be of full use, zero if
		// unspecified.
		Target time.Time
		// MaxAttempts is how many upstreams the call may be sent to; 0 means the entry's
		// default.
		MaxAttempts int
		// Cold is the service's ColdStart. The gate of a node that has just started may not
		// have the service's configuration yet.
		Cold ColdStart
		// Hint is what the calling node knows of the condition of the gate's upstream and,
		// once the gate has handled the call, what the gate knows of it.
		Hint Hint
		// UpstreamStart identifies the start of the upstream that ended under the call, 0 if
		// none did. The node where the call began may know of an earlier start only.
		UpstreamStart uint64
		// Instance is the upstream that the call is meant for; empty accepts any.
		Instance kqname.Instance
		// Dialect is how caller and upstream express a call's data in headers; nil means
		// the headers of this package.
		Dialect Dialect
		// Cancel ends the call when its caller disconnects; nil if the call cannot be
		// cancelled.
		Cancel *Cancel
		// CheckCaller checks the caller's connection now and cancels the call if it was
		// closed; nil if the connection cannot be checked.
		CheckCaller func()
		// Finish is called once a streamed response has been passed on or cut off; nil
		// if nothing needs to run then.
		Finish func()
		// BodyFailed is set if a streamed response turned out to be malformed or was cut off by
		// its peer.
		BodyFailed bool
		// ResponseError says why the response to the latest attempt is malformed, nil if it is
		// not.
		ResponseError error
		Request       *fasthttp.Request
		Response      *fasthttp.Response
	}
)

// Reasons returns every reason, for counters that need a bounded set of labels.
func Reasons() []Reason {
	return []Reason{
		NoReason, NoRoute, NoConfig, NoUpstream, QueueFull, Overload, NotStartedInTime, RolledBack, Draining, Evacuated, Cold, Limited, Quarantined, RefusedByUpstream, ConnectFailed,
		TooLarge, Malformed, TooSlow, Timeout, Cut, UpstreamEnded, Cancelled, MismatchedResponse, MalformedResponse, Misdirected, NoMemory,
		NoKey, UnknownKey, KeyRevoked, UnverifiedKey, UnknownParent, OverRate, Panicked,
	}
}

// OK returns the outcome of a call that has its upstream's response.
func OK() Outcome { return Outcome{Result: Answered} }

// Refuse returns the outcome of a call that did not run.
func Refuse(reason Reason) Outcome { return Outcome{Result: NotRun, Reason: reason} }

// RefuseQuarantined returns the outcome of a call that did not run because upstreams have ended under
// its request.
func RefuseQuarantined() Outcome {
	o := Refuse(Quarantined)
	o.RetryAfter = quarantineRetryAfter
	return o
}

// RefuseSuspect returns the outcome of a call that did not run because another one still tells
// whether its request may.
func RefuseSuspect() Outcome {
	o := Refuse(Quarantined)
	o.RetryAfter = suspectRetryAfter
	return o
}

// UnknownOutcome returns the outcome of a call that may have run.
func UnknownOutcome(reason Reason) Outcome { return Outcome{Result: Unknown, Reason: reason} }

// Status returns the HTTP status of an outcome other than Answered. Four reasons decide it
// alone, even if the call may have run: it is 404 for no route, 413 for a call that is too
// large, 400 for a malformed one and 408 for one that arrived too slowly. If the call did not
// run, it is 401 without a valid key, 429 beyond the workspace's rate and else 503; if it may
// have run, it is 504.
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
	case o.Result == NotRun && (o.Reason == NoKey || o.Reason == UnknownKey || o.Reason == KeyRevoked):
		return fasthttp.StatusUnauthorized
	case o.Result == NotRun && o.Reason == OverRate:
		return fasthttp.StatusTooManyRequests
	case o.Result == NotRun:
		return fasthttp.StatusServiceUnavailable
	default:
		return fasthttp.StatusGatewayTimeout
	}
}
