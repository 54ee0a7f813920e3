package kqentry

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// lazyDeadline is a context that creates its deadline timer only when something first waits
// on it. Most calls find their configuration at once and save the cost of the timer.
type lazyDeadline struct {
	context.Context
	deadline time.Time

	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// match returns the route of the call and the configuration snapshot that holds it, or the
// reason for a refusal.
func (e *Entry) match(c *kqcall.Call, now time.Time) (*kqsnapshot.Snapshot, kqdocument.Route, kqcall.Reason) {
	host := hostOf(c.Request)
	snapshot, err := e.snapshotFor(host, now)
	// A node that has just started holds no configuration yet (version 0). NoRoute would be
	// wrong then, since the route may exist and be known a moment later.
	if err != nil || snapshot.Version() == 0 {
		return nil, kqdocument.Route{}, kqcall.NoConfig
	}
	route, ok := snapshot.Match(kqsnapshot.Request{
		Host: host, Path: pathOf(c.Request), Method: string(c.Request.Header.Method()),
		Header: func(name string) string { return string(c.Request.Header.Peek(name)) },
	})
	if !ok {
		return nil, route, kqcall.NoRoute
	}
	return snapshot, route, kqcall.NoReason
}

// snapshotFor returns a snapshot that holds the host's routes. It waits for the snapshot for
// at most configTimeout.
func (e *Entry) snapshotFor(host kqname.Host, now time.Time) (*kqsnapshot.Snapshot, error) {
	ctx := &lazyDeadline{Context: context.Background(), deadline: now.Add(configTimeout)}
	defer ctx.stop()
	return e.config.EnsureHost(ctx, host, now)
}

// Done implements context.Context.
func (p *lazyDeadline) Done() <-chan struct{} { return p.timerContext().Done() }

// Err implements context.Context.
func (p *lazyDeadline) Err() error { return p.timerContext().Err() }

// Deadline implements context.Context.
func (p *lazyDeadline) Deadline() (time.Time, bool) { return p.deadline, true }

// timerContext returns the context with the deadline timer, which it starts at the first
// use.
func (p *lazyDeadline) timerContext() context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx == nil {
		p.ctx, p.cancel = context.WithDeadline(p.Context, p.deadline)
	}
	return p.ctx
}

// stop releases the timer if it was started.
func (p *lazyDeadline) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx != nil {
		p.cancel()
	}
}

// hostOf returns the request's host in lower case without the port.
func hostOf(r *fasthttp.Request) kqname.Host {
	host, _, _ := bytes.Cut(r.Header.Host(), []byte{':'})
	return kqname.Host(bytes.ToLower(host))
}

// pathOf returns the path as the caller wrote it, or as fasthttp parses it if the request's
// target does not begin with a slash. fasthttp's URI().Path() is not used for other
// requests, since it also rewrites the request that is passed on: the upstream would get
// dots and escapes in another form than the caller sent.
func pathOf(r *fasthttp.Request) string {
	uri := r.Header.RequestURI()
	if len(uri) == 0 || uri[0] != '/' {
		return string(r.URI().Path())
	}
	path, _, _ := bytes.Cut(uri, []byte{'?'})
	return string(path)
}

// stripTrailers removes the fields that the caller announced as trailers, and the announcement.
// The HTTP library leaves a header of an announced name out of the header that it sends on, so a
// caller could keep headers that nodes add, such as the workspace, from the upstream.
func stripTrailers(h *fasthttp.RequestHeader) {
	names := h.PeekTrailerKeys()
	if len(names) == 0 {
		return
	}
	for _, name := range names {
		h.DelBytes(name)
	}
	// Only names that may not be trailers are an error.
	_ = h.SetTrailer("")
}

// stripHopByHop removes Expect and, if the request has a Connection header, the usual
// hop-by-hop headers, which have no effect without it. Passed on, they would make the node
// close its connections to upstreams, or make an upstream switch to a protocol that the
// node does not proxy.
func stripHopByHop(h *fasthttp.RequestHeader) {
	h.Del(fasthttp.HeaderExpect)
	if len(h.Peek(fasthttp.HeaderConnection)) == 0 {
		return
	}
	h.ResetConnectionClose()
	for _, name := range []string{
		fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, fasthttp.HeaderTE, fasthttp.HeaderUpgrade, "Proxy-Connection",
	} {
		h.Del(name)
	}
}

// applyConfig sets the call's fields from its route and service. A deadline that the caller
// set stays unless the timeout of the route, of the service or by default ends earlier. A
// call with a safe method is idempotent unless its route denies it, any other call only if
// its route says so.
func applyConfig(c *kqcall.Call, route kqdocument.Route, service kqresource.Service, now time.Time) {
	c.MaxAttempts = route.MaxAttempts
	if route.TargetMS > 0 {
		c.Target = c.Arrived.Add(time.Duration(route.TargetMS) * time.Millisecond)
	}
	timeout := defaultTimeout
	if ms := max(route.TimeoutMS, 0); ms > 0 {
		timeout = time.Duration(ms) * time.Millisecond
	} else if ms := service.Service.TimeoutMS; ms > 0 {
		timeout = time.Duration(ms) * time.Millisecond
	}
	c.Route, c.Service, c.Class = route.Name, service.Service.Name, route.Class
	c.Cold = kqcall.ColdStart{Rate: service.Service.ColdRate, Duration: time.Duration(service.Service.ColdStartMS) * time.Millisecond}
	c.RefusalMeansNotRun = service.Service.RefusalMeansNotRun
	if own := now.Add(timeout); c.Deadline.IsZero() || own.Before(c.Deadline) {
		c.Deadline = own
	}
	switch string(c.Request.Header.Method()) {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions, fasthttp.MethodTrace:
		c.Idempotent = !route.NotIdempotent
	default:
		c.Idempotent = route.Idempotent
	}
}
