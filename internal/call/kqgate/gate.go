package kqgate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/base/kqkeeper"
	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqhangup"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/call/kqnesting"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqfifo"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqslots"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// part is the gate's name in what is noted of it.
	part = "gate"
	// looksAfter is how long a call waits before its caller is looked for again: each
	// look costs a system call.
	looksAfter = time.Millisecond
)

type (
	// Finder finds the local upstream of a service and version.
	Finder interface {
		Find(service kqname.Service, version kqname.UpstreamVersion) (kqlocal.Announcement, bool)
	}

	// Withdrawer leaves out an upstream that takes no connections.
	Withdrawer interface {
		Withdraw(address kqname.Address, now time.Time)
	}

	// Counter counts how calls ended at the gate.
	Counter interface {
		Gated(o kqcall.Outcome)
	}

	// Observer is told how each call that reached the upstream went.
	Observer interface {
		Observe(o Observation)
	}

	// Guard says which upstream versions get no calls.
	Guard interface {
		Refuses(service kqname.Service, version kqname.UpstreamVersion) bool
	}

	// Observation is one call as its gate saw it.
	Observation struct {
		Service kqname.Service
		Version kqname.UpstreamVersion
		Route   kqname.Route
		Outcome kqcall.Outcome
		// Status is the upstream's HTTP status, 0 where it gave none.
		Status int
		// Began is when the call was sent to the upstream; Took is how long
		// the upstream had it.
		Began time.Time
		Took  time.Duration
	}

	// Gate admits calls to local upstreams. It is safe for concurrent use.
	Gate struct {
		local    Finder
		withdraw Withdrawer
		observer Observer
		guard    Guard
		counter  Counter
		queue    func(slots int, address kqname.Address) queue
		hangup   *kqhangup.Watch
		now      func() time.Time
		dialect  kqcall.Dialect
		recorder Recorder
		keeper   *kqkeeper.Keeper
		nesting  *kqnesting.Calls
		number   atomic.Uint64
		leaving  atomic.Bool

		mu        sync.Mutex
		upstreams map[place]*upstream
	}

	// place is an address as one service's version holds it. An address may pass to
	// another before the former's last call has ended; by the address alone, the
	// new one's calls would share the fate of the former's.
	place struct {
		address kqname.Address
		service kqname.Service
		version kqname.UpstreamVersion
	}

	// Option sets up a Gate.
	Option func(*Gate)

	// Recorder is told of each call once it has left the gate.
	Recorder interface {
		Gated(r Record, now time.Time)
	}

	// Record is one call as the gate saw it.
	Record struct {
		Call     *kqcall.Call
		Outcome  kqcall.Outcome
		Status   int
		Instance kqname.Instance
		// Load is the upstream's after the call.
		Load kqcall.Load
		// Waited is the time in the queue, Took that at the upstream.
		Waited, Took time.Duration
	}

	nobody struct{}
)

// Gated implements Recorder.
func (forgetful) Gated(Record, time.Time) {}

// WithRecorder has r told of each call.
func WithRecorder(r Recorder) Option { return func(g *Gate) { g.recorder = r } }

type forgetful struct{}

// Withdraw implements Withdrawer.
func (nobody) Withdraw(kqname.Address, time.Time) {}

// Observe implements Observer.
func (nobody) Observe(Observation) {}

// Gated implements Counter.
func (nobody) Gated(kqcall.Outcome) {}

// WithCounter counts calls' ends.
func WithCounter(c Counter) Option { return func(g *Gate) { g.counter = c } }

// Refuses implements Guard.
func (nobody) Refuses(kqname.Service, kqname.UpstreamVersion) bool { return false }

// WithGuard refuses calls to the versions that guard names.
func WithGuard(guard Guard) Option { return func(g *Gate) { g.guard = guard } }

// WithObserver tells o of each call.
func WithObserver(o Observer) Option { return func(g *Gate) { g.observer = o } }

// WithWithdrawer has upstreams that take no connections left out.
func WithWithdrawer(w Withdrawer) Option { return func(g *Gate) { g.withdraw = w } }

// WithDialect sets what upstreams speak in place of our headers.
func WithDialect(d kqcall.Dialect) Option { return func(g *Gate) { g.dialect = d } }

// WithKeeper has a call that panics end alone.
func WithKeeper(k *kqkeeper.Keeper) Option { return func(g *Gate) { g.keeper = k } }

// WithNesting tells c of the calls that run.
func WithNesting(c *kqnesting.Calls) Option { return func(g *Gate) { g.nesting = c } }

// WithExactSlots takes what upstreams announce for what they run at once.
func WithExactSlots() Option {
	return func(g *Gate) {
		g.queue = func(slots int, address kqname.Address) queue {
			return kqslots.New(slots, saltOf(address), kqslots.WithExact())
		}
	}
}

// WithBaseline queues calls first come, first served, for measurements.
func WithBaseline() Option {
	return func(g *Gate) { g.queue = func(slots int, _ kqname.Address) queue { return kqfifo.New(slots) } }
}

// WithHangup has w look after the connections that calls come on.
func WithHangup(w *kqhangup.Watch) Option { return func(g *Gate) { g.hangup = w } }

// New returns a gate to the upstreams that local finds.
func New(local Finder, options ...Option) *Gate {
	g := &Gate{
		local: local, withdraw: nobody{}, observer: nobody{}, guard: nobody{}, counter: nobody{}, recorder: forgetful{}, now: time.Now, hangup: kqhangup.New(),
		upstreams: make(map[place]*upstream), nesting: kqnesting.New(),
		queue: func(slots int, address kqname.Address) queue {
			return kqslots.New(slots, saltOf(address))
		},
	}
	for _, o := range options {
		o(g)
	}
	return g
}

// Serve answers calls that other nodes send to this one's gate.
func (g *Gate) Serve(ctx *fasthttp.RequestCtx) {
	now := g.now()
	c, err := kqcall.Read(&ctx.Request, &ctx.Response, now)
	if err != nil {
		c = &kqcall.Call{Request: &ctx.Request, Response: &ctx.Response}
		c.Answer(kqcall.Refuse(kqcall.Malformed))
		return
	}
	var cancel kqcall.Cancel
	var line kqhangup.Line
	c.Cancel, c.Dialect, c.Look = &cancel, g.dialect, line.Look
	g.hangup.Begin(&line, g.number.Add(1), ctx.Conn(), &cancel, now)
	o, load := g.run(c, now)
	g.hangup.End(&line)
	g.counter.Gated(o)
	c.Answer(o)
	c.WriteStarved()
	load.Write(&ctx.Response.Header)
	if g.leaving.Load() {
		// The node that calls closes the connection itself; the server's own
		// close could meet a call that is on its way.
		ctx.SetConnectionClose()
	}
}

// Do runs a call of this node's own entry at the local upstream, fills in its
// response, and returns the upstream's load.
func (g *Gate) Do(c *kqcall.Call) (kqcall.Outcome, kqcall.Load) {
	o, load := g.run(c, g.now())
	g.counter.Gated(o)
	return o, load
}

// Leave refuses all that come from now on: the node is going. Calls that wait
// are refused, calls that run are finished.
func (g *Gate) Leave() {
	g.leaving.Store(true)
	g.Sweep(g.now())
}

// Sweep follows what became of the local upstreams: whoever drains takes no new
// work, and whoever is gone is forgotten once its last call has ended.
func (g *Gate) Sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for p, u := range g.upstreams {
		a, ok := g.local.Find(p.service, p.version)
		if !ok || a.Address != p.address || a.Draining || g.leaving.Load() {
			u.close()
		}
		if u.client.Sweep(now) == 0 && (!ok || a.Address != p.address) && u.idle() {
			delete(g.upstreams, p)
		}
	}
}

// Working reports whether calls are at work, or wait, at an upstream of the service
// whose version is one of those that fits.
func (g *Gate) Working(service kqname.Service, fits func(kqname.UpstreamVersion) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for p, u := range g.upstreams {
		if p.service == service && fits(p.version) && !u.idle() {
			return true
		}
	}
	return false
}

// run passes the call on and has it recorded.
func (g *Gate) run(c *kqcall.Call, now time.Time) (kqcall.Outcome, kqcall.Load) {
	r := Record{Call: c}
	if !g.keeper.Try(part, func() { r.Outcome, r.Load = g.pass(c, &r, now) }) {
		// What the panic left of an answer is not passed on.
		c.Response.Reset()
		r.Outcome = kqcall.Lose(kqcall.Panicked)
	}
	r.Status = status(c, r.Outcome)
	g.keeper.Try("record", func() { g.recorder.Gated(r, g.now()) })
	return r.Outcome, r.Load
}

func (g *Gate) pass(c *kqcall.Call, r *Record, now time.Time) (kqcall.Outcome, kqcall.Load) {
	if g.leaving.Load() {
		return kqcall.Refuse(kqcall.Draining), kqcall.Load{}
	}
	a, ok := g.local.Find(c.Service, c.Version)
	if !ok {
		return kqcall.Refuse(kqcall.NoUpstream), kqcall.Load{}
	}
	if a.Draining {
		return kqcall.Refuse(kqcall.Draining), kqcall.Load{}
	}
	if g.guard.Refuses(c.Service, a.Version) {
		return kqcall.Refuse(kqcall.RolledBack), kqcall.Load{}
	}
	r.Instance = a.Instance
	u := g.upstream(a, now)
	t := u.ticket(c)
	o := u.admit(t, c, now)
	r.Waited = g.now().Sub(now)
	if o.Result != kqcall.Answered {
		load := u.load(t, now)
		u.recycle(t)
		return o, load
	}
	if reason := left(c, r.Waited); reason != kqcall.NoReason {
		o = kqcall.Refuse(reason)
		return o, u.leave(t, o, false, 0, g.now())
	}
	began, given := g.now(), false
	defer func() {
		// A panic must not keep the slot: after a few the upstream took no calls.
		if !given {
			u.leave(t, kqcall.Lose(kqcall.Panicked), true, 0, began)
		}
	}()
	c.Instance = a.Instance
	g.nesting.Begin(c)
	defer g.nesting.End(c.ID)
	o = send(u, c, began)
	c.Starved = g.nesting.Starved(c.ID)
	ended := g.now()
	took := ended.Sub(began)
	r.Took = took
	if u.unreachable(o, ended) {
		g.withdraw.Withdraw(a.Address, ended)
	}
	// That this node ended before the call says nothing of the upstream.
	if o.Reason != kqcall.Draining {
		g.observer.Observe(Observation{
			Service: c.Service, Version: a.Version, Route: c.Route, Outcome: o,
			Status: status(c, o), Began: began, Took: took,
		})
	}
	failed := failed(c, o)
	given = true
	if !c.Response.IsBodyStream() {
		return o, u.leave(t, o, failed, took, ended)
	}
	// The upstream works on the call until all of its answer has been taken.
	c.Finish = func() {
		c.Finish = nil
		now := g.now()
		u.leave(t, o, failed, now.Sub(began), now)
	}
	return o, u.load(t, ended)
}

// left returns why a call that has waited must not run any more.
func left(c *kqcall.Call, waited time.Duration) kqcall.Reason {
	if waited >= looksAfter && c.Look != nil {
		c.Look()
	}
	return c.Cancel.Reason()
}

// failed reports whether the upstream failed the call: it answered so, broke off, or
// turned away a call that it had a slot for.
func failed(c *kqcall.Call, o kqcall.Outcome) bool {
	if o.Result == kqcall.Answered {
		return c.Response.StatusCode() >= fasthttp.StatusInternalServerError
	}
	return o.Reason != kqcall.Cancelled && o.Reason != kqcall.Draining
}

func (g *Gate) upstream(a kqlocal.Announcement, now time.Time) *upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := place{a.Address, a.Service, a.Version}
	u, ok := g.upstreams[p]
	if !ok {
		u = newUpstream(a, g.queue(a.Slots, a.Address), g.dialect)
		g.upstreams[p] = u
	}
	u.follow(a, now)
	return u
}

func send(u *upstream, c *kqcall.Call, now time.Time) kqcall.Outcome {
	c.Tell(now)
	o := u.client.Do(c)
	if o.Result != kqcall.Answered {
		return o
	}
	kqcall.StripResponse(&c.Response.Header)
	if c.Dialect != nil {
		if v := c.Dialect.Judge(c); v.NotRun != kqcall.NoReason {
			c.Response.Reset()
			return kqcall.Refuse(v.NotRun)
		}
		return o
	}
	if c.RefusalMeansNotRun && c.Response.StatusCode() == fasthttp.StatusServiceUnavailable {
		return kqcall.Refuse(kqcall.Shed)
	}
	return o
}

func status(c *kqcall.Call, o kqcall.Outcome) int {
	if o.Result != kqcall.Answered && o.Reason != kqcall.Shed {
		return 0
	}
	return c.Response.StatusCode()
}
