package kqgate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/call/kqbody"
	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqdisconnect"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/call/kqnesting"
	"github.com/kumquatgw/kumquatgw/internal/call/kqsend"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqgrace"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqinbound"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqslots"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// component names the gate in reports of panics.
	component = "gate"
	// maxHints bounds the conditions of deleted upstreams that are kept.
	maxHints = 64
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
		// self is the gate's node, set with its quarantine.
		self       kqname.Node
		quarantine Quarantine
		// evacuated reports whether the gate's failure domain is evacuated.
		evacuated func() bool
		// grace is what is left until the node ends.
		grace *kqgrace.Grace
		// isRevoked reports whether the call's API key has been removed since its entry
		// accepted it.
		isRevoked func(*kqcall.Call) bool
		// coldStart returns what the upstreams of the call's service bear while they are cold.
		coldStart func(*kqcall.Call) ColdStart
		// started is when the gate was created, at the start of the process.
		started time.Time
		buffer  responseBuffer
		// memory is nil if connections to upstreams need not reserve any.
		memory kqsend.Memory
		// bodyBacklog returns how long a large body from another node would have to wait for
		// the server's link.
		bodyBacklog func(now time.Time) time.Duration
		counter     Counter
		// queue returns a new queue for the upstream at the address.
		queue      func(slots int, address kqname.Address) queue
		watcher    *kqdisconnect.Watcher
		now        func() time.Time
		dialect    kqcall.Dialect
		recorder   Recorder
		conditions ConditionRecorder
		// onDeparture is called with an upstream that leaves by its own word.
		onDeparture func(kqlocal.Announcement, time.Time)
		supervisor  *kqsupervisor.Supervisor
		nesting     *kqnesting.Calls
		sequence    atomic.Uint64
		draining    atomic.Bool

		mu        sync.Mutex
		upstreams map[upstreamKey]*upstream
		// hints holds the conditions of deleted upstreams, which may announce themselves
		// again.
		hints map[kqname.Address]kqcall.Hint
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

	// noop implements Withdrawer, Observer, Counter, Guard, Quarantine and ConditionRecorder where no option sets them.
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
		local: local, withdrawer: noop{}, observer: noop{}, guard: noop{}, quarantine: noop{}, evacuated: func() bool { return false },
		bodyBacklog: func(time.Time) time.Duration { return 0 },
		coldStart:   func(*kqcall.Call) ColdStart { return ColdStart{} }, started: time.Now(), counter: noop{}, recorder: noopRecorder{}, conditions: noop{}, onDeparture: func(kqlocal.Announcement, time.Time) {}, now: time.Now, watcher: kqdisconnect.New(),
		isRevoked: func(*kqcall.Call) bool { return false }, grace: new(kqgrace.Grace),
		upstreams: make(map[upstreamKey]*upstream), hints: make(map[kqname.Address]kqcall.Hint), nesting: kqnesting.New(),
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
	// The entry may have cancelled the call before this node read it.
	watched.CheckCaller()
	o, load := g.handle(c, now)
	g.watcher.Untrack(&watched)
	g.counter.GateCallEnded(o)
	c.Answer(o)
	c.WriteStarved()
	c.WriteUpstreamStart()
	if kqbody.Length(&ctx.Request) >= kqinbound.LargeBody {
		load.Wait = max(load.Wait, g.bodyBacklog(g.now()))
	}
	load.Write(&ctx.Response.Header)
	c.Hint.WriteResponse(&ctx.Response.Header)
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
			g.keepHint(key.address, u.condition.hint())
			u.condition.end(now)
			delete(g.upstreams, key)
		}
	}
}

// keepHint keeps the condition of a deleted upstream. Of too many, all are dropped: they are
// only of use until the upstream's next answer. The caller holds g.mu.
func (g *Gate) keepHint(address kqname.Address, h kqcall.Hint) {
	if h.IsZero() {
		return
	}
	if len(g.hints) >= maxHints {
		clear(g.hints)
	}
	g.hints[address] = h
}

// Limits returns the limit of each local upstream that has got calls.
func (g *Gate) Limits() []Limit {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []Limit
	for key, u := range g.upstreams {
		if a, ok := g.local.Find(key.service, key.version); ok && a.Address == key.address {
			perSecond, limited := u.condition.limit()
			list = append(list, Limit{Address: key.address, Limited: limited, PerSecond: perSecond})
		}
	}
	return list
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
