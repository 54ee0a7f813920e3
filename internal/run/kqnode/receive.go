package kqnode

import (
	"bytes"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/base/kqmemory"
	"github.com/kumquatgw/kumquatgw/internal/call/kqbody"
	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqconnection"
)

const (
	// callMemory is what a call takes beside its connection, head, body and response, in bytes.
	callMemory = 16 << 10
	// entryBodyWait is how long a caller's body waits for memory at an entry, and a body of
	// unknown length also at a gate: about as long as it takes to forward one body. A call waits
	// as long for its own memory.
	entryBodyWait = 250 * time.Millisecond
	// noMemoryRetryAfter is the Retry-After of a call refused for lack of memory.
	noMemoryRetryAfter = time.Second
	// bodyWaitParts divides the time until a call's deadline to get how long its body may wait
	// for the link; the rest is for the upstream's work or for another server.
	bodyWaitParts = 4
	// headerTooLarge marks a request whose stated length is too large. It never leaves the process.
	headerTooLarge = "Kq-Too-Large"
	// maxReadyBody is the largest body of a readiness probe, in bytes.
	maxReadyBody = 4 << 10
)

// noMemoryResponse returns the response to a request on a connection that there is no room for.
func (n *Node) noMemoryResponse(r Role, head []byte) []byte {
	var response fasthttp.Response
	c := &kqcall.Call{Dialect: n.adapter.Dialect, Response: &response}
	if r == RoleGate {
		// The calling node takes a response without the call's id for that to another call.
		c.ID = kqcall.FindID(head)
	}
	c.Answer(noMemoryOutcome())
	response.SetConnectionClose()
	var b bytes.Buffer
	// A buffer accepts all that is written.
	_, _ = response.WriteTo(&b)
	return b.Bytes()
}

// markTooLarge makes receiveBody refuse a request whose stated length is too large before any of its
// body has arrived. The HTTP library would wait for the beginning of the body first.
func (s callServer) markTooLarge(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	h.Del(headerTooLarge)
	if h.ContentLength() > s.maxBody {
		h.SetContentLength(0)
		h.Del(fasthttp.HeaderExpect)
		h.Set(headerTooLarge, "1")
	}
	return fasthttp.RequestConfig{}
}

// receiveBody returns a handler that receives the request's body into memory before it calls next,
// and refuses the request if that fails. For a body of stated length, a gate waits much longer for
// memory than an entry: the calling node holds the body meanwhile, and a refusal while it sends would
// leave the call's outcome unknown.
func (n *Node) receiveBody(next fasthttp.RequestHandler, s callServer) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		memory := kqconnection.ClientOf(ctx.Conn()).NewReservation()
		kqmemory.Attach(&ctx.Request, memory)
		if len(ctx.Request.Header.Peek(headerTooLarge)) > 0 {
			n.refuseUnread(ctx, kqbody.ErrTooLarge, s)
			return
		}
		if !ctx.Request.IsBodyStream() {
			next(ctx)
			return
		}
		length, wait := ctx.Request.Header.ContentLength(), s.bodyWait
		if length < 0 {
			wait = entryBodyWait
		}
		body, err := kqbody.Receive(ctx.RequestBodyStream(), length, s.maxBody, memory, wait)
		if err != nil {
			n.refuseUnread(ctx, err, s)
			return
		}
		body.Attach(&ctx.Request)
		next(ctx)
		// The response may take long to be sent.
		ctx.Request.ResetBody()
		body.Release()
	}
}

// reserveCall returns a handler that reserves the memory of a call while next handles it, and refuses
// the call if there is none.
func (n *Node) reserveCall(next fasthttp.RequestHandler, s callServer) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		memory := kqmemory.Of(&ctx.Request)
		if !memory.Reserve(kqmemory.Calls, callMemory, entryBodyWait) {
			n.refuseUnread(ctx, kqbody.ErrNoMemory, s)
			return
		}
		defer memory.Release(kqmemory.Calls, callMemory)
		next(ctx)
	}
}

// refuseUnread answers and counts a request that could not be read whole, or got no memory. It does
// not reach an entry or a gate, which do their own counting.
func (n *Node) refuseUnread(ctx *fasthttp.RequestCtx, err error, s callServer) {
	o := n.readErrorOutcome(errors.Join(err, kqconnection.ReadError(ctx.Conn())))
	s.count(o)
	c := &kqcall.Call{Dialect: n.adapter.Dialect, Request: &ctx.Request, Response: &ctx.Response}
	if s.role == RoleGate {
		c.ID = kqcall.FindID(ctx.Request.Header.RawHeaders())
	}
	c.Answer(o)
	// A kept connection would go on to take memory, of which there may be none left.
	ctx.SetConnectionClose()
}

// allowBody waits until the node's link has room for a large body that another node announces,
// and reports false if it has none within the body's share of the time until the deadline.
func (n *Node) allowBody(h *fasthttp.RequestHeader) bool {
	if n.inbound == nil {
		return true
	}
	wait, allowed := n.inbound.Reserve(h.ContentLength(), kqcall.ReadTimeLeft(h)/bodyWaitParts, time.Now())
	if allowed {
		time.Sleep(wait)
	}
	return allowed
}

// noMemoryOutcome returns the outcome of a call refused for lack of memory.
func noMemoryOutcome() kqcall.Outcome {
	o := kqcall.Refuse(kqcall.NoMemory)
	o.RetryAfter = noMemoryRetryAfter
	return o
}
