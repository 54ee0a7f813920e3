package kqnode

import (
	"runtime/debug"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqbody"
	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
)

const (
	// defaultBodyMemory is the memory for large bodies, in bytes, if the settings state
	// none: four bodies of 64 MB, the largest max_body that the settings allow.
	defaultBodyMemory = 256 << 20
	// bodyMemoryDivisor leaves a quarter of the memory to large bodies, beside which small
	// ones may take half as much: what the HTTP library has read and is not
	// garbage-collected yet may take as much as the bodies themselves, and the process
	// needs the rest.
	bodyMemoryDivisor = 4
	// entryBodyWait is how long a caller's body waits for memory at an entry, and a body of
	// unknown length also at a gate: about as long as it takes to forward one body.
	entryBodyWait = 250 * time.Millisecond
	// noMemoryRetryAfter is the Retry-After of a call refused for lack of body memory.
	noMemoryRetryAfter = time.Second
	// bodyWaitParts divides the time until a call's deadline to get how long its body may wait
	// for the link; the rest is for the upstream's work or for another server.
	bodyWaitParts = 4
	// rejectedBodyLimit is the body limit, in bytes, of a request without reserved
	// memory; the HTTP library rejects a larger body.
	rejectedBodyLimit = 1
)

// bodyMemory returns how many bytes of large bodies the node may hold at once. kqbody allows
// half as many for small ones in addition.
func bodyMemory(s kqsettings.Settings) int {
	switch {
	case s.Call.BodyMemory > 0:
		return s.Call.BodyMemory
	case s.Node.Memory > 0:
		return s.Node.Memory / bodyMemoryDivisor
	default:
		return defaultBodyMemory
	}
}

// callMemoryEighths is the part of the memory, in eighths, that bodies and connections'
// buffers may take together; the program itself and uncollected garbage take the rest.
const callMemoryEighths = 5

// newBodyLimiter returns the limiter of the memory for callers' bodies and connections.
func (n *Node) newBodyLimiter() *kqbody.Limiter {
	var options []kqbody.Option
	if memory := n.settings.Node.Memory; memory > 0 {
		options = append(options, kqbody.WithConnections(memory/8*callMemoryEighths, n.callConnections), kqbody.WithCollector(debug.FreeOSMemory))
	}
	return kqbody.New(bodyMemory(n.settings), options...)
}

// callConnections returns the number of open connections of the servers for calls.
func (n *Node) callConnections() int {
	return n.openConnections(RoleEntry) + n.openConnections(RoleLocal) + n.openConnections(RoleGate)
}

// reserveBody reserves memory for a request's body before it is read. Without memory it
// limits the body to rejectedBodyLimit; a body declared larger than MaxBody is left to the
// server's own limit, which rejects it. For a body of declared length, a gate waits much
// longer than an entry: the calling node holds the body meanwhile, and a refusal while it
// sends would leave the call's outcome unknown.
func (n *Node) reserveBody(wait time.Duration) func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return func(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
		if h.ContentLength() > n.settings.Call.MaxBody || n.bodies.Reserve(h, wait, n.settings.Call.ReadTimeout) {
			return fasthttp.RequestConfig{}
		}
		return fasthttp.RequestConfig{MaxRequestBodySize: rejectedBodyLimit}
	}
}

// allowBody waits until the node's link has room for a large body that another node announces,
// and reports false if it has none within the body's share of the time until the deadline.
func (n *Node) allowBody(h *fasthttp.RequestHeader) bool {
	if n.inbound == nil {
		return true
	}
	wait, allowed := n.inbound.Reserve(h.ContentLength(), kqcall.ReadTimeLeft(h)/bodyWaitParts, time.Now())
	if !allowed {
		n.bodies.ReleaseRequest(h)
		return false
	}
	time.Sleep(wait)
	return true
}

// noMemoryOutcome returns the outcome of a call refused for lack of body memory.
func noMemoryOutcome() kqcall.Outcome {
	o := kqcall.Refuse(kqcall.NoMemory)
	o.RetryAfter = noMemoryRetryAfter
	return o
}

// lackedMemory reports whether a body rejected as too large was rejected for lack of
// memory: its declared length is within the configured limit. It is false for a chunked
// body, which declares no length.
func (n *Node) lackedMemory(ctx *fasthttp.RequestCtx) bool {
	length := ctx.Request.Header.ContentLength()
	return length > rejectedBodyLimit && length <= n.settings.Call.MaxBody
}
