package kqcall

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// Dialect translates between a call and the headers that callers and upstreams of a
	// deployment use. Without one they use the headers of this package.
	Dialect interface {
		// Accept reads what a caller's headers say about its call, and removes the
		// headers that callers must not set.
		Accept(h *fasthttp.RequestHeader) CallInfo
		// WriteUpstreamHeaders writes the headers for the upstream into the call's request.
		// left is the time until the deadline.
		WriteUpstreamHeaders(c *Call, left time.Duration)
		// IsAnswer reports whether the response is the upstream's answer to this call.
		IsAnswer(c *Call) bool
		// ReadVerdict reads from the answer to the call whether the call ran.
		ReadVerdict(c *Call) Verdict
		// ReadCondition reads what an upstream's answer says of the upstream itself.
		ReadCondition(h *fasthttp.ResponseHeader) Condition
		// ReadHealth reads an upstream's answer to a health check.
		ReadHealth(h *fasthttp.ResponseHeader) Health
		// Key returns the API key in a caller's headers, as ReadKey does.
		Key(h *fasthttp.RequestHeader) []byte
		// StripKey removes the API key and what the caller says of its workspace.
		StripKey(h *fasthttp.RequestHeader)
		// ReadReport reads what an upstream's answer says of its load.
		ReadReport(h *fasthttp.ResponseHeader) ServerReport
		// RetryAfter formats how long a refused caller should wait before it retries.
		RetryAfter(d time.Duration) string
	}

	// CallInfo is what a caller says about its own call; zero values are unspecified.
	CallInfo struct {
		ID ID
		// TimeLeft is how long the caller will wait.
		TimeLeft time.Duration
		// ParentID is the id of the running call that this one is nested in, as claimed by
		// a caller that is a local upstream.
		ParentID ID
		// Workspace is that of the running call, as passed on by a local upstream.
		Workspace kqname.Workspace
	}

	// Health is what an upstream's answer to a health check says of its cold start.
	Health struct {
		// Instance is the upstream that has answered, empty if it does not say.
		Instance kqname.Instance
		// ColdFor is for how much longer the upstream is cold, 0 if it is warm.
		ColdFor time.Duration
	}

	// ServerReport is what an upstream's answer says of its load. The upstream may be wrong.
	ServerReport struct {
		// HasLoad reports whether the answer states Running, Waiting and Slots, which are
		// numbers of calls.
		HasLoad                 bool
		Running, Waiting, Slots int
		// Slowdown is how many times longer than usual work takes at this moment, 0 if the
		// answer does not say.
		Slowdown float64
	}

	// Verdict is what an upstream's answer says about whether the call ran.
	Verdict struct {
		// NotRunReason is why the upstream has not run the call and will not, or NoReason if
		// it ran.
		NotRunReason Reason
	}
)

// ReadHealth reads an upstream's answer to a health check by the dialect or, if it is nil, by
// the headers of this package.
func ReadHealth(d Dialect, h *fasthttp.ResponseHeader) Health {
	if d != nil {
		return d.ReadHealth(h)
	}
	ms, err := strconv.ParseInt(string(h.Peek(HeaderCold)), 10, 64)
	if err != nil || ms < 0 {
		ms = 0
	}
	return Health{Instance: kqname.Instance(h.Peek(HeaderInstance)), ColdFor: time.Duration(ms) * time.Millisecond}
}

// wholeSeconds formats a Retry-After in whole seconds (RFC 9110), rounded up.
func wholeSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
