package kqgate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqdisconnect"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/call/kqnesting"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqcold"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqslots"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// component names the gate in reports of panics.
	component = "gate"
	// callerCheckAfter is how long a call must have waited before its caller's
	// connection is checked: each check costs a system call.
	callerCheckAfter = time.Millisecond
)

type (
	// Finder finds the local upstream of a service and version, and when the announced cold
	// start of the one at an address ends.
	Finder interface {
		Find(service kqname.Service, version kqname.UpstreamVersion) (kqlocal.Announcement, bool)
		ColdUntil(address kqname.Address) time.Time
	}

	// Withdrawer removes an upstream that accepts no connections from those that the node
	// publishes to its peers.
	Withdrawer interface {
		Withdraw(address kqname.Address, now time.Time)
	}

	// Counter counts the outcomes of calls at the gate, except calls from other nodes that
	// cannot be parsed.
	Counter interface {
		GateCallEnded(o kqcall.Outcome)
	}

	// Observer receives the result of each call that the gate tried to send to its
	// upstream, except calls that ended because this node stopped or a panic occurred.
	Observer interface {
		Observe(o Observation)
	}

	// Guard reports which upstream versions must not get calls, such as those that were
	// rolled back.
	Guard interface {
		Refuses(service kqname.Service, version kqname.UpstreamVersion) bool
	}

	// Observation is the result of one call as its gate saw it.
	Observation struct {
		Service kqname.Service
		Version kqname.UpstreamVersion
		Route   kqname.Route
		Outcome kqcall.Outcome
		// Status is the HTTP status with which the upstream answered or shed the call, 0
		// for any other outcome. It is always 200 if a dialect says that the call was shed.
		Status int
		// Began is when the call was sent to the upstream. Took is the time until its
		// response, or the header of a streamed response, was read.
		Began time.Time
		Took  time.Duration
	}

	// Gate admits calls to local upstreams. It is safe for concurrent use.
	Gate struct {
		local      Finder
		withdrawer Withdrawer
		observer   Observer
		guard      Guard
		// evacuated reports whether the gate's failure domain is evacuated.
		evacuated func() bool
		// coldStart returns what the upstreams of the call's service bear while they are cold.
		coldStart func(*kqcall.Call) ColdStart
		// started is when the gate was created, at the start of the process.
		started time.Time
		buffer  responseBuffer
		counter Counter
		// queue returns a new queue for the upstream at the address.
		queue      func(slots int, address kqname.Address) queue
		watcher    *kqdisconnect.Watcher
		now        func() time.Time
		dialect    kqcall.Dialect
		recorder   Recorder
		supervisor *kqsupervisor.Supervisor
		nesting    *kqnesting.Calls
		sequence   atomic.Uint64
		draining   atomic.Bool

		mu        sync.Mutex
		upstreams map[upstreamKey]*upstream
	}

	// upstreamKey identifies an upstream by address, service and version. The address
	// alone is not enough: another version may take it over while calls to the old one
	// still run. Its calls would then be refused together with those of the old version.
	upstreamKey struct {
		address kqname.Address
		service kqname.Service
		version kqname.UpstreamVersion
	}

	// Option configures a Gate.
	Option func(*Gate)

	// Recorder receives a record of each call once its outcome is known, which is before
	// the body of a streamed response has been read. A call from another node that cannot
	// be parsed is not recorded.
	Recorder interface {
		GateCallEnded(r Record, now time.Time)
	}

	// Record describes one call as the gate saw it.
	Record struct {
		Call    *kqcall.Call
		Outcome kqcall.Outcome
		// Status is the HTTP status with which the upstream answered or shed the call, 0
		// for any other outcome. It is always 200 if a dialect says that the call was shed.
		Status   int
		Instance kqname.Instance
		// Load is the upstream's load after the call. It includes a call whose response is
		// still being streamed.
		Load kqcall.Load
		// Waited is the time in the queue. Took is the time from sending the call to the
		// upstream until its response, or the header of a streamed response, was read.
		Waited, Took time.Duration
	}

	// noop implements Withdrawer, Observer, Counter and Guard where no option sets them.
	noop struct{}
)

// noopRecorder discards records.
type noopRecorder struct{}

// GateCallEnded implements Recorder.
func (noopRecorder) GateCallEnded(Record, time.Time) {}

// Withdraw implements Withdrawer.
func (noop) Withdraw(kqname.Address, time.Time) {}

// Observe implements Observer.
func (noop) Observe(Observation) {}

// GateCallEnded implements Counter.
func (noop) GateCallEnded(kqcall.Outcome) {}

// Refuses implements Guard.
func (noop) Refuses(kqname.Service, kqname.UpstreamVersion) bool { return false }

// New returns a gate to the upstreams that local finds.
func New(local Finder, options ...Option) *Gate {
	g := &Gate{
		local: local, withdrawer: noop{}, observer: noop{}, guard: noop{}, evacuated: func() bool { return false },
		coldStart: func(*kqcall.Call) ColdStart { return ColdStart{} }, started: time.Now(), counter: noop{}, recorder: noopRecorder{}, now: time.Now, watcher: kqdisconnect.New(),
		upstreams: make(map[upstreamKey]*upstream), nesting: kqnesting.New(),
		queue: func(slots int, address kqname.Address) queue {
			return kqslots.New(slots, saltOf(address))
		},
	}
	for _, o := range options {
		o(g)
	}
	return g
}

// Serve handles a call that another node sends to this node's gate.
func (g *Gate) Serve(ctx *fasthttp.RequestCtx) {
	now := g.now()
	c, err := kqcall.Read(&ctx.Request, &ctx.Response, now)
	if err != nil {
		c = &kqcall.Call{Request: &ctx.Request, Response: &ctx.Response}
		c.Answer(kqcall.Refuse(kqcall.Malformed))
		return
	}
	var cancel kqcall.Cancel
	var watched kqdisconnect.WatchedCall
	c.Cancel, c.Dialect, c.CheckCaller = &cancel, g.dialect, watched.CheckCaller
	g.watcher.Track(&watched, g.sequence.Add(1), ctx.Conn(), &cancel, now)
	o, load := g.handle(c, now)
	g.watcher.Untrack(&watched)
	g.counter.GateCallEnded(o)
	c.Answer(o)
	c.WriteStarved()
	load.Write(&ctx.Response.Header)
	if g.draining.Load() {
		// "Connection: close" makes the calling node stop using the connection. If this
		// server closed an idle connection without notice, a call that was just being sent
		// on it could be lost.
		ctx.SetConnectionClose()
	}
}

// Do runs a call of this node's own entry at the local upstream and fills in its response.
// It returns the call's outcome and the upstream's load.
func (g *Gate) Do(c *kqcall.Call) (kqcall.Outcome, kqcall.Load) {
	o, load := g.handle(c, g.now())
	g.counter.GateCallEnded(o)
	return o, load
}

// Drain starts draining the gate before the node stops: new and waiting calls are
// refused, running calls finish.
func (g *Gate) Drain() {
	g.draining.Store(true)
	g.Sweep(g.now())
}

// Sweep closes connections that have been idle for too long. It also closes the queue of
// each upstream that drains or is no longer announced at its address, or of all upstreams
// if the gate itself drains or its failure domain is evacuated. An upstream that is no longer
// announced is deleted once its last call has ended and its last connection is closed.
func (g *Gate) Sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	evacuated := g.evacuated()
	for key, u := range g.upstreams {
		a, ok := g.local.Find(key.service, key.version)
		switch {
		case !ok || a.Address != key.address || a.Draining || g.draining.Load():
			u.close(kqcall.Draining)
		case evacuated:
			u.close(kqcall.Evacuated)
		}
		if u.sweep(now) == 0 && (!ok || a.Address != key.address) && u.isIdle() {
			delete(g.upstreams, key)
		}
	}
}

// HasCalls reports whether calls run or wait at an upstream of the service whose version
// satisfies fits.
func (g *Gate) HasCalls(service kqname.Service, fits func(kqname.UpstreamVersion) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, u := range g.upstreams {
		if key.service == service && fits(key.version) && !u.isIdle() {
			return true
		}
	}
	return false
}

// handle forwards the call and records it.
func (g *Gate) handle(c *kqcall.Call, now time.Time) (kqcall.Outcome, kqcall.Load) {
	r := Record{Call: c}
	if !g.supervisor.RunRecovered(component, func() { r.Outcome, r.Load = g.forward(c, &r, now) }) {
		// A response that the panic left incomplete must not reach the caller.
		c.Response.Reset()
		r.Outcome = kqcall.UnknownOutcome(kqcall.Panicked)
	}
	r.Status = upstreamStatus(c, r.Outcome)
	g.supervisor.RunRecovered("record", func() { g.recorder.GateCallEnded(r, g.now()) })
	return r.Outcome, r.Load
}

// forward admits the call, sends it to the upstream and reports the result to the observer.
// It returns the outcome and the upstream's load, and fills in the rest of the record.
func (g *Gate) forward(c *kqcall.Call, r *Record, now time.Time) (kqcall.Outcome, kqcall.Load) {
	a, reason := g.findUpstream(c)
	if reason != kqcall.NoReason {
		return kqcall.Refuse(reason), kqcall.Load{}
	}
	r.Instance = a.Instance
	u := g.upstream(a, now)
	t := u.newTicket(c)
	cold, priority := g.coldStart(c), kqslots.Priority(c.Class, c.Depth > 0)
	if cold.Bound > 0 {
		u.cold.prepare(cold, a, g.local.ColdUntil(a.Address), g.started, now)
		if u.cold.check(priority, now) == kqcold.Refused {
			load := u.load(t, now)
			u.recycle(t)
			return coldRefusal(), fullLoad(load)
		}
	}
	o := u.admit(t, c, now)
	r.Waited = g.now().Sub(now)
	if o.Result != kqcall.Answered {
		load := u.load(t, now)
		u.recycle(t)
		return o, load
	}
	if reason := cancelReason(c, r.Waited); reason != kqcall.NoReason {
		o = kqcall.Refuse(reason)
		return o, u.releaseSlot(t, o, false, 0, g.now())
	}
	began, released := g.now(), false
	defer func() {
		// Without this, a panic would leave its slot in use forever, and after a few panics
		// the upstream would get no calls.
		if !released {
			u.releaseSlot(t, kqcall.UnknownOutcome(kqcall.Panicked), true, 0, began)
		}
	}()
	if cold.Bound > 0 && !u.cold.admit(cold, priority, g.dialect, g.now) {
		o, released = coldRefusal(), true
		return o, fullLoad(u.releaseSlot(t, o, false, 0, g.now()))
	}
	c.Instance, began = a.Instance, g.now()
	g.nesting.Begin(c)
	defer g.nesting.End(c.ID)
	o = g.exchange(u, c, began)
	if cold.Bound > 0 && !reachedUpstream(o) {
		u.cold.forget()
	}
	c.Starved = g.nesting.Starved(c.ID)
	ended := g.now()
	took := ended.Sub(began)
	r.Took = took
	if u.updateUnreachable(o, ended) {
		g.withdrawer.Withdraw(a.Address, ended)
	}
	// Here Draining means that this node stopped before the call ended, which is not a
	// failure of the upstream.
	if o.Reason != kqcall.Draining {
		g.observer.Observe(Observation{
			Service: c.Service, Version: a.Version, Route: c.Route, Outcome: o,
			Status: upstreamStatus(c, o), Began: began, Took: took,
		})
	}
	upstreamFailed := upstreamFailed(c, o)
	released = true
	if isBuffered(c) {
		return o, u.releaseSlot(t, o, upstreamFailed, took, ended)
	}
	// The slot stays in use until the whole streamed response has been read.
	c.Finish = func() {
		c.Finish = nil
		now := g.now()
		u.releaseSlot(t, o, upstreamFailed, now.Sub(began), now)
	}
	return o, u.load(t, ended)
}

// findUpstream returns the upstream for the call, or why it takes no calls.
func (g *Gate) findUpstream(c *kqcall.Call) (kqlocal.Announcement, kqcall.Reason) {
	a, ok := g.local.Find(c.Service, c.Version)
	switch {
	case g.draining.Load():
		return a, kqcall.Draining
	case !ok:
		return a, kqcall.NoUpstream
	case a.Draining:
		return a, kqcall.Draining
	case g.evacuated():
		return a, kqcall.Evacuated
	case g.guard.Refuses(c.Service, a.Version):
		return a, kqcall.RolledBack
	default:
		return a, kqcall.NoReason
	}
}

// exchange sends the call to the upstream and returns its outcome, once a response that fits
// into the buffer has been read whole.
func (g *Gate) exchange(u *upstream, c *kqcall.Call, now time.Time) kqcall.Outcome {
	o := sendToUpstream(u, c, now)
	if o.Result != kqcall.Answered || g.buffer.absorb(c) == nil {
		return o
	}
	c.Response.Reset()
	return incompleteOutcome(c, g.now())
}

// incompleteOutcome returns the outcome of a call whose response ended early.
func incompleteOutcome(c *kqcall.Call, now time.Time) kqcall.Outcome {
	switch reason := c.Cancel.Reason(); {
	case reason != kqcall.NoReason:
		return kqcall.UnknownOutcome(reason)
	case !now.Before(c.Deadline):
		return kqcall.UnknownOutcome(kqcall.Timeout)
	default:
		return kqcall.UnknownOutcome(kqcall.Cut)
	}
}

// reachedUpstream reports whether the upstream that the call was meant for may have got it.
func reachedUpstream(o kqcall.Outcome) bool {
	return o.Reason != kqcall.Misdirected && o.Reason != kqcall.ConnectFailed
}

// cancelReason returns why a call that has waited must not run any more, or NoReason.
func cancelReason(c *kqcall.Call, waited time.Duration) kqcall.Reason {
	if waited >= callerCheckAfter && c.CheckCaller != nil {
		c.CheckCaller()
	}
	return c.Cancel.Reason()
}

// upstreamFailed reports whether a call that was sent counts as the upstream's failure: it
// was answered 5xx, or it was not answered although its caller stayed connected and this
// node did not stop.
func upstreamFailed(c *kqcall.Call, o kqcall.Outcome) bool {
	if o.Result == kqcall.Answered {
		return c.Response.StatusCode() >= fasthttp.StatusInternalServerError
	}
	return o.Reason != kqcall.Cancelled && o.Reason != kqcall.Draining
}

// upstream returns the state of the announced upstream, creating it at the first call.
func (g *Gate) upstream(a kqlocal.Announcement, now time.Time) *upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := upstreamKey{a.Address, a.Service, a.Version}
	u, ok := g.upstreams[key]
	if !ok {
		u = newUpstream(a, g.queue(a.Slots, a.Address), g.dialect)
		g.upstreams[key] = u
	}
	u.update(a, now)
	return u
}

// sendToUpstream sends the call and returns its outcome. A response which says that the
// call did not run becomes a refusal.
func sendToUpstream(u *upstream, c *kqcall.Call, now time.Time) kqcall.Outcome {
	c.WriteUpstreamHeaders(now)
	o := u.client.Do(c)
	if o.Result != kqcall.Answered {
		return o
	}
	kqcall.StripResponse(&c.Response.Header)
	if c.Dialect != nil {
		if v := c.Dialect.ReadVerdict(c); v.NotRunReason != kqcall.NoReason {
			c.Response.Reset()
			return kqcall.Refuse(v.NotRunReason)
		}
		return o
	}
	if c.RefusalMeansNotRun && c.Response.StatusCode() == fasthttp.StatusServiceUnavailable {
		return kqcall.Refuse(kqcall.RefusedByUpstream)
	}
	return o
}

// upstreamStatus returns the HTTP status with which the upstream answered or shed the call,
// 0 for any other outcome. It is always 200 if a dialect says that the call was shed.
func upstreamStatus(c *kqcall.Call, o kqcall.Outcome) int {
	if o.Result != kqcall.Answered && o.Reason != kqcall.RefusedByUpstream {
		return 0
	}
	return c.Response.StatusCode()
}
