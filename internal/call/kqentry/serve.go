package kqentry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqgrace"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqhold"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// ServeOutside handles calls from outside the mesh. With a dialect it usually also handles
// those of the node's own upstream, which name the call that they are nested in. It removes
// this project's internal headers, which outside callers must not set.
func (e *Entry) ServeOutside(ctx *fasthttp.RequestCtx) {
	stripTrailers(&ctx.Request.Header)
	if kqcall.StripRequest(&ctx.Request.Header) > 0 {
		e.onForged()
	}
	var info kqcall.CallInfo
	if e.dialect != nil {
		info = e.dialect.Accept(&ctx.Request.Header)
	}
	e.serve(ctx, kqname.Caller(ctx.RemoteIP().String()), 0, info)
}

// ServeLocal handles calls from the node's own upstream. The only internal headers that it
// reads are the depth, the remaining time and the workspace of the call that the upstream is
// running.
func (e *Entry) ServeLocal(ctx *fasthttp.RequestCtx, caller kqname.Caller) {
	stripTrailers(&ctx.Request.Header)
	depth, left := kqcall.ReadPropagated(&ctx.Request.Header)
	workspace := kqname.Workspace(ctx.Request.Header.Peek(kqcall.HeaderWorkspace))
	e.serve(ctx, caller, depth+1, kqcall.CallInfo{TimeLeft: left, Workspace: workspace})
}

// Drain starts draining the entry before the node stops: new calls are still served, but
// each response asks its caller to close the connection.
func (e *Entry) Drain() { e.draining.Store(true) }

// SinceLastCall returns the time since the last call arrived, or since the entry was
// created if none has.
func (e *Entry) SinceLastCall(now time.Time) time.Duration {
	return now.Sub(e.started) - time.Duration(e.lastArrival.Load())
}

// Calls returns the number of calls in flight, without those whose response is being
// streamed.
func (e *Entry) Calls() int { return int(e.calls.Load()) }

// AwaitsConfig reports whether a call has come for which the node had no configuration.
func (e *Entry) AwaitsConfig() bool { return e.awaitsConfig.Load() }

// RefuseAll makes the entry refuse all new calls, because the process will end before their
// answers could be complete. Only nested calls are still served: without them, the calls that the
// local upstream is running would fail.
func (e *Entry) RefuseAll() { e.refusing.Store(true) }

// Close closes the idle connections to other nodes' gates.
func (e *Entry) Close() { e.gateClients.close() }

// CloseIdleTo closes the idle connections to the gate of a node that is stopping, since
// that node waits until they are closed.
func (e *Entry) CloseIdleTo(gate kqname.Address) {
	if found, ok := e.gateClients.find(gate); ok {
		found.Close()
	}
}

// Sweep closes connections that have been idle for too long, and forgets gates to which
// there has been no connection for clientIdleTimeout.
func (e *Entry) Sweep(now time.Time) {
	e.gateClients.sweep(now)
	e.hints.sweep(now)
}

// serve handles one call from its arrival to its record.
func (e *Entry) serve(ctx *fasthttp.RequestCtx, caller kqname.Caller, depth int, info kqcall.CallInfo) {
	e.calls.Add(1)
	defer e.calls.Add(-1)
	now := e.now()
	e.lastArrival.Store(int64(now.Sub(e.started)))
	kqcall.StripRequest(&ctx.Request.Header)
	stripHopByHop(&ctx.Request.Header)
	sequence := e.sequence.Add(1)
	f := &callState{info: info}
	f.call = kqcall.Call{
		ID: info.ID, Caller: caller, Origin: e.origin, Depth: depth, Arrived: now, Dialect: e.dialect,
		Fingerprint: kqfingerprint.Of(&ctx.Request), Cancel: &f.cancel, Request: &ctx.Request, Response: &ctx.Response,
	}
	c := &f.call
	c.CheckCaller = f.watched.CheckCaller
	if c.ID == "" {
		c.ID = e.newID(sequence)
	}
	if info.TimeLeft > 0 {
		c.Deadline = now.Add(info.TimeLeft)
	}
	if parent, ok := e.nesting.Find(info.ParentID); ok && info.ParentID != "" {
		c.Caller, c.Depth, c.Repeat = parent.Caller, parent.Depth+1, parent.Repeat
		f.parent = &parent
	}
	e.returningCallers.started(f, now)
	e.watcher.Track(&f.watched, sequence, ctx.Conn(), &f.cancel, now)
	var o kqcall.Outcome
	if !e.supervisor.RunRecovered(component, func() { o = e.handle(f, now) }) {
		o = f.panicOutcome()
	}
	e.watcher.Untrack(&f.watched)
	if o.Result == kqcall.NotRun {
		setRetryAfter(&o)
		f.extendRetryAfter(&o, e.now())
		e.returnAdmission(f)
	}
	e.counter.Ended(o)
	e.returningCallers.ended(f, o)
	if c.Depth > 0 && isOverload(o) {
		e.nesting.MarkStarved(info.ParentID)
	}
	c.Answer(o)
	e.supervisor.RunRecovered("record", func() {
		e.recorder.Ended(Record{Call: c, Outcome: o, Status: ctx.Response.StatusCode(), Version: f.version, Attempts: f.sendAttempts}, e.now())
	})
	// Callers of a dialect retry a refused call on a new connection. The old one would
	// hold a descriptor for as long as the caller keeps idle connections, and during a
	// burst of refusals the process would run out of descriptors.
	if e.draining.Load() || e.dialect != nil && o.Result == kqcall.NotRun {
		ctx.SetConnectionClose()
	}
}

// handle matches the call to a route, fills in its fields and sends it.
func (e *Entry) handle(f *callState, now time.Time) kqcall.Outcome {
	c := &f.call
	if c.Depth > kqcall.MaxDepth {
		return kqcall.Refuse(kqcall.Malformed)
	}
	if e.refusing.Load() && c.Depth == 0 {
		return refuseStopping()
	}
	snapshot, route, refusal := e.match(c, now)
	if refusal == kqcall.NoConfig {
		e.awaitsConfig.Store(true)
		e.hold(c, func() bool {
			snapshot, route, refusal = e.match(c, e.now())
			return refusal != kqcall.NoConfig
		})
		now = e.now()
	}
	if refusal != kqcall.NoReason {
		o := kqcall.Refuse(refusal)
		if refusal == kqcall.NoConfig {
			o.RetryAfter = defaultRetryAfter
		}
		return o
	}
	f.version = snapshot.Version()
	if snapshot.HasWorkspaces() {
		var o kqcall.Outcome
		if snapshot, route, o = e.authenticate(f, snapshot, route); o.Result != kqcall.Answered {
			return o
		}
		now = e.now()
	}
	found, _ := snapshot.Service(route.Choose(rand.Float64()))
	applyConfig(c, route, found, now)
	if f.parent != nil {
		// A nested call is as urgent as the call that waits for it.
		c.Class = f.parent.Class
	}
	if !c.Target.IsZero() {
		// The target counts from the caller's first attempt.
		c.Target = c.Target.Add(f.firstTry.Sub(now))
	}
	if !now.Before(c.Deadline) {
		return kqcall.Refuse(kqcall.NotStartedInTime)
	}
	if o := e.admitToRate(f, now); o.Result != kqcall.Answered {
		return o
	}
	evacuated := snapshot.Evacuated()
	criteria, allowsAny := e.criteria(found, route, evacuated, c)
	if !allowsAny {
		e.hold(c, func() bool {
			criteria, allowsAny = e.criteria(found, route, evacuated, c)
			return allowsAny
		})
		now = e.now()
	}
	s := e.service(c.Service)
	if refusal := s.admit(c, e.baseline, now); refusal != kqcall.NoReason {
		return refuseSoon(refusal)
	}
	o := e.sendAttempts(f, s, criteria)
	if o.Result == kqcall.Unknown {
		// The caller may repeat the request at any node as soon as it is answered.
		e.quarantine.AwaitSpread(c)
	}
	if isFull(o.Reason) {
		s.recordRefusal(c, e.now())
	}
	return o
}

// refuseStopping returns the outcome of a call that did not run because this node stops.
func refuseStopping() kqcall.Outcome {
	o := kqcall.Refuse(kqcall.Draining)
	o.RetryAfter = kqgrace.RetryAfter
	return o
}

// criteria returns which upstreams the call may go to, and whether any that is known is among
// them. A node that has just started may know upstreams before it knows the rollouts that
// allow them calls.
func (e *Entry) criteria(found kqresource.Service, route kqdocument.Route, evacuated []kqname.Domain, c *kqcall.Call) (criteria kqpick.Criteria, allowsAny bool) {
	criteria = e.splitter.Split(found, c)
	criteria.Evacuated = evacuated
	criteria.Route = c.Route
	criteria.ComfortableLatency = kqpick.ComfortableLatency(time.Duration(route.TargetMS)*time.Millisecond, c.Depth > 0)
	return criteria, criteria.AllowsAny(e.directory.Upstreams(c.Service))
}

// hold waits until ready returns true, for as long as kqhold allows, or until the call is
// cancelled.
func (e *Entry) hold(c *kqcall.Call, ready func() bool) {
	for held := time.Duration(0); !c.Cancel.Done(); held += holdPoll {
		now, left := e.now(), defaultTimeout
		if !c.Deadline.IsZero() {
			left = c.Deadline.Sub(now)
		}
		if kqhold.Remaining(now.Sub(e.started), held, left) <= 0 {
			return
		}
		time.Sleep(holdPoll)
		if ready() {
			return
		}
	}
}

// sendAttempts sends the call to one upstream after another, until an attempt's outcome
// needs no retry, no upstream is left, or the limits for retries allow no further attempt.
func (e *Entry) sendAttempts(f *callState, s *service, criteria kqpick.Criteria) kqcall.Outcome {
	c := &f.call
	var space [maxGates]kqname.Node
	tried, limit, sends, possibleRuns, repeat := space[:0], maxAttempts(c), 0, 0, c.Repeat
	last := kqcall.Refuse(noUpstreamReason(e.directory.Upstreams(c.Service), criteria.Evacuated))
	last.RetryAfter = defaultRetryAfter
	defer e.finishProbe(c)
	for {
		// The caller may have left before the call was read, or during a wait that is shorter
		// than the watcher's interval.
		if c.CheckCaller(); c.Cancel.Done() {
			return combined(kqcall.Refuse(c.Cancel.Reason()), possibleRuns)
		}
		var refusal kqcall.Outcome
		if criteria, refusal = e.admitSuspect(c, criteria); refusal.Result != kqcall.Answered {
			return combined(refusal, possibleRuns)
		}
		if e.isRevoked(c) {
			return combined(kqcall.Refuse(kqcall.KeyRevoked), possibleRuns)
		}
		now := e.now()
		if c.Depth == 0 && e.grace.IsSet() && !e.grace.Allows(s.leastWork(c.Route), now) {
			return combined(refuseStopping(), possibleRuns)
		}
		c.Version = criteria.Version
		to, gate, attempt := s.pick(c, e.directory.Upstreams(c.Service), criteria, tried, now)
		if to == nil && criteria.HasNext() {
			e.finishProbe(c)
			criteria = criteria.Next()
			continue
		}
		if to == nil {
			return combined(last, possibleRuns)
		}
		tried = append(tried, gate.Node)
		var load kqcall.Load
		var hasLoad, answeredByGate bool
		f.sent, c.Repeat = true, repeat || sends > 0
		if !e.supervisor.RunRecovered(component, func() { last, load, hasLoad, answeredByGate = e.send(c, gate) }) {
			last, answeredByGate = kqcall.UnknownOutcome(kqcall.Panicked), true
		}
		f.sent = possibleRuns > 0 || last.Result != kqcall.NotRun
		sent := now
		now = e.now()
		e.recordFate(f, gate, last, answeredByGate, sent, now)
		e.finishProbe(c)
		attempt.Ejected = s.recordAttempt(c, to, last, load, hasLoad, now)
		attempt.Took, attempt.Outcome, attempt.ResponseError = now.Sub(sent), last, c.ResponseError
		if last.Result == kqcall.Answered {
			attempt.Status = c.Response.StatusCode()
		}
		if reachedUpstream(last) {
			sends++
		}
		if last.Result != kqcall.NotRun {
			possibleRuns++
		}
		canRetry := sends < limit && len(tried) < maxGates && now.Before(c.Deadline) && !c.Cancel.Done()
		attempt.RetryAllowed = canRetry && (s.spendRetry(c, last) || s.hasSpareGate(last, criteria, tried, now) || e.baselineRetries(c, last))
		f.sendAttempts = append(f.sendAttempts, attempt)
		if !attempt.RetryAllowed {
			return combined(last, possibleRuns)
		}
		e.counter.Retried(last.Reason)
		criteria = criteria.Next()
	}
}

// noUpstreamReason returns why a call is refused that the criteria allow no upstream: all
// upstreams are in evacuated failure domains, or there are none that fit.
func noUpstreamReason(all []kqmember.Candidate, evacuated []kqname.Domain) kqcall.Reason {
	isServing := func(u kqmember.Candidate) bool { return !slices.Contains(evacuated, u.Domain) }
	if len(evacuated) > 0 && len(all) > 0 && !slices.ContainsFunc(all, isServing) {
		return kqcall.Evacuated
	}
	return kqcall.NoUpstream
}

// isOverload reports whether a call with that outcome was not served for lack of capacity, or
// because no upstream must get its request. Another upstream would not serve it either.
func isOverload(o kqcall.Outcome) bool {
	switch o.Reason {
	case kqcall.QueueFull, kqcall.Cold, kqcall.Limited, kqcall.Quarantined, kqcall.Overload, kqcall.RefusedByUpstream, kqcall.NotStartedInTime:
		return true
	default:
		return false
	}
}

// isFull reports whether a gate refused a call for the reason that its upstream bears no
// further one at the moment.
func isFull(r kqcall.Reason) bool {
	return r == kqcall.QueueFull || r == kqcall.Cold || r == kqcall.Limited
}

// panicOutcome returns the outcome of a call whose handling panicked.
func (f *callState) panicOutcome() kqcall.Outcome {
	if f.sent {
		return kqcall.UnknownOutcome(kqcall.Panicked)
	}
	o := kqcall.Refuse(kqcall.Panicked)
	o.RetryAfter = defaultRetryAfter
	return o
}

// maxAttempts returns how many upstreams a call may be sent to.
func maxAttempts(c *kqcall.Call) int {
	if c.MaxAttempts > 0 {
		return c.MaxAttempts
	}
	return defaultMaxAttempts
}

// combined returns the outcome of a call from that of its last attempt. possibleRuns is the
// number of attempts that may have run the call. If there are any, the last attempt's "not
// run" does not hold for the call as a whole.
func combined(last kqcall.Outcome, possibleRuns int) kqcall.Outcome {
	if last.Result != kqcall.NotRun || possibleRuns == 0 {
		return last
	}
	return kqcall.UnknownOutcome(last.Reason)
}

// reachedUpstream reports whether an attempt with that outcome may have reached an upstream.
// The others usually ended at its gate or before; only a dialect's upstream may itself have
// rejected the call as malformed.
func reachedUpstream(o kqcall.Outcome) bool {
	return o.Result != kqcall.NotRun || o.Reason == kqcall.RefusedByUpstream || o.Reason == kqcall.Misdirected
}

// baselineRetries reports whether the entry is the baseline for measurements and the
// outcome is one that the baseline retries: a call that did not run, unless its time was
// over.
func (e *Entry) baselineRetries(_ *kqcall.Call, o kqcall.Outcome) bool {
	return e.baseline && o.Result == kqcall.NotRun && o.Reason != kqcall.NotStartedInTime
}

// send sends the call to a gate and returns the outcome and the gate's load, and whether
// the gate reported one and answered at all.
func (e *Entry) send(c *kqcall.Call, to kqmember.Candidate) (o kqcall.Outcome, load kqcall.Load, hasLoad, answeredByGate bool) {
	c.UpstreamStart, c.ResponseError = 0, nil
	if to.Node == e.self {
		c.Hint = kqcall.Hint{}
		o, load = e.local.Do(c)
		return o, load, load.Slots > 0, true
	}
	sent := e.now()
	c.Hint = e.hints.find(to.Node)
	c.Write(sent)
	o = e.gateClients.get(to.Gate).Do(c)
	if o.Result != kqcall.Answered {
		return o, kqcall.Load{}, false, false
	}
	c.ReadStarved()
	c.ReadUpstreamStart()
	load, hasLoad = kqcall.ReadLoad(&c.Response.Header)
	o = c.Outcome()
	e.hints.update(to.Node, kqcall.ReadHint(&c.Response.Header), o, sent, e.now())
	return o, load, hasLoad && load.Slots > 0, true
}
