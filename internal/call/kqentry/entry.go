// Package kqentry takes callers' calls, matches a route, picks an upstream and
// sends the call to that upstream's gate.
package kqentry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqhangup"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	defaultTimeout = 10 * time.Second
	configWait     = 2 * time.Second
	maxTries       = 3
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
		Do(c *kqcall.Call) (kqcall.Outcome, kqcall.Load)
	}

	// Counter counts how calls ended and why calls were sent again.
	Counter interface {
		Ended(o kqcall.Outcome)
		Retried(r kqcall.Reason)
	}

	// Entry serves calls. It is safe for concurrent use.
	Entry struct {
		self      kqname.Node
		domain    kqname.Domain
		config    Configuration
		directory Directory
		local     Local
		splitter  Splitter
		counter   Counter
		hangup    *kqhangup.Watch
		forged    func()
		baseline  bool
		leaving   atomic.Bool
		now       func() time.Time

		prefix  string
		number  atomic.Uint64
		shards  [shardCount]shard
		clients clients
	}

	// Option sets up an Entry.
	Option func(*Entry)

	// flight is what one call needs beside its request, in one piece of memory.
	flight struct {
		call   kqcall.Call
		cancel kqcall.Cancel
		line   kqhangup.Line
	}

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

// WithDomain tells the entry's failure domain, whose upstreams it prefers.
func WithDomain(d kqname.Domain) Option { return func(e *Entry) { e.domain = d } }

// WithHangup has w look after the connections that calls come on.
func WithHangup(w *kqhangup.Watch) Option { return func(e *Entry) { e.hangup = w } }

// WithForged is told of each call from outside that carried headers of ours.
func WithForged(f func()) Option { return func(e *Entry) { e.forged = f } }

// WithDialer replaces plain TCP to other nodes' gates. Its errors must come
// before a byte of a call is sent.
func WithDialer(dial fasthttp.DialFunc) Option { return func(e *Entry) { e.clients.dial = dial } }

// WithBaseline chooses at random and retries without a budget, for measurements.
func WithBaseline() Option { return func(e *Entry) { e.baseline = true } }

// New returns an entry of the node self.
func New(self kqname.Node, config Configuration, directory Directory, local Local, options ...Option) *Entry {
	e := &Entry{
		self: self, config: config, directory: directory, local: local,
		splitter: stable{}, counter: silent{}, hangup: kqhangup.New(), forged: func() {}, now: time.Now,
		// Two nodes, or one before and after a restart, never give out the same id.
		prefix: strconv.FormatUint(rand.Uint64(), 36) + "-",
	}
	for _, o := range options {
		o(e)
	}
	for i := range e.shards {
		e.shards[i].services = make(map[kqname.Service]*service)
	}
	e.clients.held = make(map[kqname.Address]*client)
	return e
}

// ServeOutside answers callers from outside the mesh: headers of ours are not
// theirs to set.
func (e *Entry) ServeOutside(ctx *fasthttp.RequestCtx) {
	if kqcall.Strip(&ctx.Request.Header) > 0 {
		e.forged()
	}
	e.serve(ctx, kqname.Caller(ctx.RemoteIP().String()), 0, 0)
}

// ServeLocal answers calls from the node's own upstream, which may pass on the
// depth and the remaining time of the call that it works on, and nothing else.
func (e *Entry) ServeLocal(ctx *fasthttp.RequestCtx, caller kqname.Caller) {
	depth, left := kqcall.Context(&ctx.Request.Header)
	e.serve(ctx, caller, depth+1, left)
}

// Leave asks callers to close their connections: the node is going.
func (e *Entry) Leave() { e.leaving.Store(true) }

// Close ends the idle connections to other nodes' gates.
func (e *Entry) Close() { e.clients.close() }

// Sweep closes what has been idle and forgets gates that are gone.
func (e *Entry) Sweep(now time.Time) { e.clients.sweep(now) }

func (e *Entry) serve(ctx *fasthttp.RequestCtx, caller kqname.Caller, depth int, left time.Duration) {
	now := e.now()
	kqcall.Strip(&ctx.Request.Header)
	stripHop(&ctx.Request.Header)
	number := e.number.Add(1)
	f := &flight{}
	f.call = kqcall.Call{
		ID: e.id(number), Caller: caller, Depth: depth, Arrived: now,
		Cancel: &f.cancel, Request: &ctx.Request, Response: &ctx.Response,
	}
	c := &f.call
	if left > 0 {
		c.Deadline = now.Add(left)
	}
	e.hangup.Begin(&f.line, number, ctx.Conn(), &f.cancel, now)
	o := e.do(c, now)
	e.hangup.End(&f.line)
	e.counter.Ended(o)
	c.Answer(o)
	if e.leaving.Load() {
		ctx.SetConnectionClose()
	}
}

func (e *Entry) do(c *kqcall.Call, now time.Time) kqcall.Outcome {
	if c.Depth > kqcall.MaxDepth {
		return kqcall.Refuse(kqcall.Malformed)
	}
	snapshot, route, refusal := e.match(c, now)
	if refusal != kqcall.NoReason {
		o := kqcall.Refuse(refusal)
		if refusal == kqcall.NoConfig {
			o.RetryAfter = time.Second
		}
		return o
	}
	found, _ := snapshot.Service(route.Service)
	fill(c, route, found, now)
	if !now.Before(c.Deadline) {
		return kqcall.Refuse(kqcall.Late)
	}
	target := e.splitter.Split(found, c)
	s := e.service(c.Service)
	if !s.begin(c, e.baseline, now) {
		o := kqcall.Refuse(kqcall.Overload)
		o.RetryAfter = time.Second
		return o
	}
	return e.tries(c, s, target, now)
}

// tries sends the call until it has an answer, may have run, or may not be sent
// again.
func (e *Entry) tries(c *kqcall.Call, s *service, target kqpick.Target, now time.Time) kqcall.Outcome {
	var space [maxTries]kqname.Node
	tried := space[:0]
	last := kqcall.Refuse(kqcall.NoUpstream)
	last.RetryAfter = time.Second
	for {
		c.Version = target.Version
		to, gate := s.pick(e.directory.Upstreams(c.Service), target, tried, now)
		if to == nil && target.Fallback != "" {
			target = target.Next()
			continue
		}
		if to == nil {
			return last
		}
		tried = append(tried, gate.Node)
		var load kqcall.Load
		var told bool
		last, load, told = e.send(c, gate)
		now = e.now()
		again := s.done(c, to, last, load, told, now)
		if len(tried) == maxTries || !again && !e.plainRetry(c, last) || !now.Before(c.Deadline) || c.Cancel.Done() {
			return last
		}
		e.counter.Retried(last.Reason)
		target = target.Next()
	}
}

// plainRetry is the baseline's rule: again whatever did not run.
func (e *Entry) plainRetry(_ *kqcall.Call, o kqcall.Outcome) bool {
	return e.baseline && o.Result == kqcall.NotRun && o.Reason != kqcall.Late
}

func (e *Entry) send(c *kqcall.Call, to kqmember.Candidate) (kqcall.Outcome, kqcall.Load, bool) {
	if to.Node == e.self {
		o, load := e.local.Do(c)
		return o, load, load.Slots > 0
	}
	c.Write(e.now())
	o := e.clients.get(to.Gate).Do(c)
	if o.Result != kqcall.Answered {
		return o, kqcall.Load{}, false
	}
	load, told := kqcall.ReadLoad(&c.Response.Header)
	return c.Outcome(), load, told && load.Slots > 0
}

func (e *Entry) id(number uint64) kqcall.ID {
	var space [32]byte
	return kqcall.ID(strconv.AppendUint(append(space[:0], e.prefix...), number, 36))
}
