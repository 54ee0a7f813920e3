// Package kqentry takes callers' calls, matches a route, picks an upstream and
// sends the call to that upstream's gate.
package kqentry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	defaultTimeout = 10 * time.Second
	configWait     = 2 * time.Second
	maxTries       = 3
	maxConnections = 512
	idleConnection = 10 * time.Second
)

type (
	// Configuration gives the snapshot that holds a host's routes.
	Configuration interface {
		Want(ctx context.Context, host kqname.Host, now time.Time) (*kqsnapshot.Snapshot, error)
	}

	// Directory gives the upstreams of a service that take new work.
	Directory interface {
		Upstreams(service kqname.Service) []kqmember.Candidate
	}

	// Splitter says which upstreams of a service a call may go to.
	Splitter interface {
		Split(service kqresource.Service, call *kqcall.Call) kqpick.Target
	}

	// Local runs calls at this node's own upstream.
	Local interface {
		Do(c *kqcall.Call) kqcall.Outcome
	}

	// Counter counts how calls ended and why calls were sent again.
	Counter interface {
		Ended(o kqcall.Outcome)
		Retried(r kqcall.Reason)
	}

	// Entry serves calls. It is safe for concurrent use.
	Entry struct {
		self      kqname.Node
		config    Configuration
		directory Directory
		local     Local
		splitter  Splitter
		counter   Counter
		picker    *kqpick.Picker
		now       func() time.Time
		dial      fasthttp.DialFunc

		mu      sync.Mutex
		clients map[kqname.Address]*fasthttp.HostClient
	}

	// Option sets up an Entry.
	Option func(*Entry)

	stable struct{}
	silent struct{}
)

// Split implements Splitter.
func (stable) Split(s kqresource.Service, _ *kqcall.Call) kqpick.Target {
	return kqpick.Target{Version: s.Service.Version}
}

// Ended implements Counter.
func (silent) Ended(kqcall.Outcome) {}

// Retried implements Counter.
func (silent) Retried(kqcall.Reason) {}

// WithSplitter lets rollouts share out the calls.
func WithSplitter(s Splitter) Option { return func(e *Entry) { e.splitter = s } }

// WithCounter counts ends and retries.
func WithCounter(c Counter) Option { return func(e *Entry) { e.counter = c } }

// WithDialer replaces plain TCP to other nodes' gates. Its errors must come
// before a byte of a call is sent, and be net.OpErrors of "dial".
func WithDialer(dial fasthttp.DialFunc) Option { return func(e *Entry) { e.dial = dial } }

// New returns an entry of the node self.
func New(self kqname.Node, config Configuration, directory Directory, local Local, options ...Option) *Entry {
	e := &Entry{
		self: self, config: config, directory: directory, local: local,
		splitter: stable{}, counter: silent{}, picker: kqpick.New(), now: time.Now,
		clients: make(map[kqname.Address]*fasthttp.HostClient),
	}
	for _, o := range options {
		o(e)
	}
	return e
}

// ServeOutside answers callers from outside the mesh: headers of ours are not
// theirs to set.
func (e *Entry) ServeOutside(ctx *fasthttp.RequestCtx) {
	kqcall.Strip(&ctx.Request.Header)
	e.serve(ctx, kqname.Caller(ctx.RemoteIP().String()), 0)
}

// ServeLocal answers calls from the node's own upstream, which may pass on the
// depth and the remaining time of the call that it works on.
func (e *Entry) ServeLocal(ctx *fasthttp.RequestCtx, caller kqname.Caller) {
	depth, err := strconv.Atoi(string(ctx.Request.Header.Peek(kqcall.HeaderDepth)))
	if err != nil || depth < 0 {
		depth = 0
	}
	e.serve(ctx, caller, depth+1)
}

func (e *Entry) serve(ctx *fasthttp.RequestCtx, caller kqname.Caller, depth int) {
	now := e.now()
	c := &kqcall.Call{
		ID: kqcall.ID(uuid.NewString()), Caller: caller, Depth: depth, Arrived: now,
		Request: &ctx.Request, Response: &ctx.Response,
	}
	o := e.do(c, now)
	e.counter.Ended(o)
	c.Answer(o)
}

func (e *Entry) do(c *kqcall.Call, now time.Time) kqcall.Outcome {
	snapshot, route, refusal := e.match(c, now)
	if refusal != kqcall.NoReason {
		return kqcall.Refuse(refusal)
	}
	service, _ := snapshot.Service(route.Service)
	fill(c, route, service, now)
	target := e.splitter.Split(service, c)
	c.Version = target.Version
	tried := make(map[kqname.Node]bool)
	last := kqcall.Refuse(kqcall.NoUpstream)
	for range maxTries {
		to, ok := e.pick(c, target, tried)
		if !ok && target.Fallback != "" {
			target = target.Next()
			c.Version = target.Version
			to, ok = e.pick(c, target, tried)
		}
		if !ok {
			return last
		}
		tried[to.Node] = true
		last = e.send(c, to)
		if last.Result != kqcall.NotRun || last.Reason == kqcall.Late {
			return last
		}
		e.counter.Retried(last.Reason)
		target = target.Next()
		c.Version = target.Version
	}
	return last
}

func (e *Entry) match(c *kqcall.Call, now time.Time) (*kqsnapshot.Snapshot, kqdocument.Route, kqcall.Reason) {
	host, _, _ := strings.Cut(strings.ToLower(string(c.Request.Host())), ":")
	ctx, cancel := context.WithTimeout(context.Background(), configWait)
	defer cancel()
	snapshot, err := e.config.Want(ctx, kqname.Host(host), now)
	if err != nil {
		return nil, kqdocument.Route{}, kqcall.NoConfig
	}
	route, ok := snapshot.Match(kqsnapshot.Request{
		Host: kqname.Host(host), Path: string(c.Request.URI().Path()), Method: string(c.Request.Header.Method()),
		Header: func(name string) string { return string(c.Request.Header.Peek(name)) },
	})
	if !ok {
		return nil, route, kqcall.NoRoute
	}
	return snapshot, route, kqcall.NoReason
}

func (e *Entry) pick(c *kqcall.Call, target kqpick.Target, tried map[kqname.Node]bool) (kqmember.Candidate, bool) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return e.picker.Pick(e.directory.Upstreams(c.Service), target, tried, random)
}

func (e *Entry) send(c *kqcall.Call, to kqmember.Candidate) kqcall.Outcome {
	if to.Node == e.self {
		return e.local.Do(c)
	}
	c.Write(e.now())
	err := e.client(to.Gate).DoDeadline(c.Request, c.Response, c.Deadline)
	if err != nil {
		return kqgate.Judge(c, err)
	}
	h := &c.Response.Header
	if string(h.Peek(kqcall.HeaderID)) != string(c.ID) {
		return kqcall.Lose(kqcall.Crossed)
	}
	return kqcall.Outcome{
		Result: kqcall.Result(h.Peek(kqcall.HeaderResult)),
		Reason: kqcall.Reason(h.Peek(kqcall.HeaderReason)),
	}
}

func (e *Entry) client(to kqname.Address) *fasthttp.HostClient {
	e.mu.Lock()
	defer e.mu.Unlock()
	client, ok := e.clients[to]
	if !ok {
		client = &fasthttp.HostClient{
			Addr: string(to), Dial: e.dial, MaxConns: maxConnections, MaxIdleConnDuration: idleConnection,
			MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			NoDefaultUserAgentHeader: true,
		}
		e.clients[to] = client
	}
	return client
}

func fill(c *kqcall.Call, route kqdocument.Route, service kqresource.Service, now time.Time) {
	timeout := defaultTimeout
	if ms := max(route.TimeoutMS, 0); ms > 0 {
		timeout = time.Duration(ms) * time.Millisecond
	} else if ms := service.Service.TimeoutMS; ms > 0 {
		timeout = time.Duration(ms) * time.Millisecond
	}
	c.Route, c.Service, c.Class = route.Name, route.Service, route.Class
	c.RefusalMeansNotRun = service.Service.RefusalMeansNotRun
	c.Deadline = now.Add(timeout)
	switch string(c.Request.Header.Method()) {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions, fasthttp.MethodTrace:
		c.Idempotent = true
	default:
		c.Idempotent = route.Idempotent
	}
}
