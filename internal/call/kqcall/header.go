package kqcall

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Headers of our own. Those of a request are taken from nodes and from the
// local upstream only; from outsiders they are stripped.
const (
	HeaderID         = "Kq-Call-Id"
	HeaderResult     = "Kq-Result"
	HeaderReason     = "Kq-Reason"
	HeaderCaller     = "Kq-Caller"
	HeaderRoute      = "Kq-Route"
	HeaderService    = "Kq-Service"
	HeaderVersion    = "Kq-Version"
	HeaderClass      = "Kq-Class"
	HeaderIdempotent = "Kq-Idempotent"
	HeaderRefusal    = "Kq-Refusal-Not-Run"
	HeaderTimeout    = "Kq-Timeout-Ms"
	HeaderDepth      = "Kq-Depth"

	maxDepth = 32
)

var (
	// ErrMalformed tells that one of our headers cannot be read.
	ErrMalformed = errors.New("malformed internal header")

	prefix = []byte("kq-")
)

// Strip removes every header of ours from a request.
func Strip(h *fasthttp.RequestHeader) {
	for _, key := range h.PeekKeys() {
		if len(key) >= len(prefix) && bytes.EqualFold(key[:len(prefix)], prefix) {
			h.DelBytes(bytes.Clone(key))
		}
	}
}

// Write puts the call's fields into its request, for the gate of another node.
func (c *Call) Write(now time.Time) {
	h := &c.Request.Header
	h.Set(HeaderID, string(c.ID))
	h.Set(HeaderCaller, string(c.Caller))
	h.Set(HeaderRoute, string(c.Route))
	h.Set(HeaderService, string(c.Service))
	h.Set(HeaderVersion, string(c.Version))
	h.Set(HeaderClass, string(c.Class))
	h.Set(HeaderIdempotent, strconv.FormatBool(c.Idempotent))
	h.Set(HeaderRefusal, strconv.FormatBool(c.RefusalMeansNotRun))
	h.Set(HeaderTimeout, strconv.FormatInt(c.Deadline.Sub(now).Milliseconds(), 10))
	h.Set(HeaderDepth, strconv.Itoa(c.Depth))
}

// Read makes a call from what Write put into a request.
func Read(req *fasthttp.Request, resp *fasthttp.Response, now time.Time) (*Call, error) {
	h := &req.Header
	timeout, err := strconv.ParseInt(string(h.Peek(HeaderTimeout)), 10, 32)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", HeaderTimeout, errors.Join(ErrMalformed, err))
	}
	depth, err := strconv.Atoi(string(h.Peek(HeaderDepth)))
	if err != nil || depth < 0 || depth > maxDepth {
		return nil, fmt.Errorf("read %s: %w", HeaderDepth, errors.Join(ErrMalformed, err))
	}
	c := &Call{
		ID:                 ID(h.Peek(HeaderID)),
		Caller:             kqname.Caller(h.Peek(HeaderCaller)),
		Route:              kqname.Route(h.Peek(HeaderRoute)),
		Service:            kqname.Service(h.Peek(HeaderService)),
		Version:            kqname.UpstreamVersion(h.Peek(HeaderVersion)),
		Class:              kqdocument.Class(h.Peek(HeaderClass)),
		Idempotent:         string(h.Peek(HeaderIdempotent)) == "true",
		RefusalMeansNotRun: string(h.Peek(HeaderRefusal)) == "true",
		Depth:              depth,
		Arrived:            now,
		Deadline:           now.Add(time.Duration(timeout) * time.Millisecond),
		Request:            req,
		Response:           resp,
	}
	if c.ID == "" || c.Service == "" {
		return nil, fmt.Errorf("read call id and service: %w", ErrMalformed)
	}
	return c, nil
}

// Answer puts the outcome into the call's response; unless it is an answer, it
// becomes the whole response.
func (c *Call) Answer(o Outcome) {
	if o.Result != Answered {
		c.Response.Reset()
		c.Response.SetStatusCode(o.Status())
		c.Response.SetBodyString(string(o.Result) + ": " + string(o.Reason) + "\n")
	}
	h := &c.Response.Header
	h.Set(HeaderID, string(c.ID))
	h.Set(HeaderResult, string(o.Result))
	if o.Reason != NoReason {
		h.Set(HeaderReason, string(o.Reason))
	}
	if o.RetryAfter > 0 {
		seconds := (o.RetryAfter + time.Second - 1) / time.Second
		h.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
}
