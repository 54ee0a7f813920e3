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

// patience is a context with a deadline whose timer starts when somebody first
// waits on it, which hardly any call does.
type patience struct {
	context.Context
	until time.Time

	mu     sync.Mutex
	timed  context.Context
	cancel context.CancelFunc
}

func (e *Entry) match(c *kqcall.Call, now time.Time) (*kqsnapshot.Snapshot, kqdocument.Route, kqcall.Reason) {
	host := hostOf(c.Request)
	snapshot, err := e.want(host, now)
	// A node that has just started holds no version: that it knows no route then
	// says nothing of the call, which may be served a moment later.
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

func (e *Entry) want(host kqname.Host, now time.Time) (*kqsnapshot.Snapshot, error) {
	ctx := &patience{Context: context.Background(), until: now.Add(configWait)}
	defer ctx.end()
	return e.config.Want(ctx, host, now)
}

// Done implements context.Context.
func (p *patience) Done() <-chan struct{} { return p.start().Done() }

// Err implements context.Context.
func (p *patience) Err() error { return p.start().Err() }

// Deadline implements context.Context.
func (p *patience) Deadline() (time.Time, bool) { return p.until, true }

func (p *patience) start() context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timed == nil {
		p.timed, p.cancel = context.WithDeadline(p.Context, p.until)
	}
	return p.timed
}

func (p *patience) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timed != nil {
		p.cancel()
	}
}

// hostOf returns the host that a request names, in lower case without the port.
func hostOf(r *fasthttp.Request) kqname.Host {
	host, _, _ := bytes.Cut(r.Header.Host(), []byte{':'})
	return kqname.Host(bytes.ToLower(host))
}

// pathOf returns the path as the caller wrote it. The library's own way to it
// also rewrites the request that is passed on: dots and escapes would reach the
// upstream in another form than the caller sent.
func pathOf(r *fasthttp.Request) string {
	uri := r.Header.RequestURI()
	if len(uri) == 0 || uri[0] != '/' {
		return string(r.URI().Path())
	}
	path, _, _ := bytes.Cut(uri, []byte{'?'})
	return string(path)
}

// stripHop removes what the caller said of its own connection. Passed on, it
// would have the node close its connections to upstreams, or the upstream speak
// a protocol that is not carried.
func stripHop(h *fasthttp.RequestHeader) {
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

// fill takes over what the configuration says of the call. A deadline that was
// passed on stays unless the route's own is earlier.
func fill(c *kqcall.Call, route kqdocument.Route, service kqresource.Service, now time.Time) {
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
