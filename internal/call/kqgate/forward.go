package kqgate

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqcold"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqgrace"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqslots"
)

// callerCheckAfter is how long a call must have waited before its caller's connection is
// checked: each check costs a system call.
const callerCheckAfter = time.Millisecond

// forward admits the call, sends it to the upstream and reports the result to the observer.
// It returns the outcome and the upstream's load, and fills in the rest of the record.
func (g *Gate) forward(c *kqcall.Call, r *Record, arrived time.Time) (kqcall.Outcome, kqcall.Load) {
	finish, refusal := g.admitSuspect(c)
	if refusal.Result != kqcall.Answered {
		return refusal, kqcall.Load{}
	}
	defer finish()
	a, reason := g.findUpstream(c)
	if reason != kqcall.NoReason {
		return g.refuse(reason), kqcall.Load{}
	}
	r.Instance = a.Instance
	now := g.now()
	u := g.upstream(a, now)
	u.condition.adopt(a, c.Hint, now)
	defer func() { c.Hint = u.condition.hint() }()
	if u.condition.isLeaving() {
		g.onDeparture(a, now)
		return kqcall.Refuse(kqcall.Draining), kqcall.Load{}
	}
	t := u.newTicket(c)
	cold, priority := g.coldStart(c), kqslots.Priority(c.EffectiveClass(), c.Depth > 0)
	if ignoresCold {
		cold.Bound = 0
	}
	if cold.Bound > 0 {
		u.cold.prepare(cold, a, g.local.ColdUntil(a.Address), g.started, now)
		if u.cold.check(priority, now) == kqcold.Refused {
			return u.turnAway(t, coldRefusal(), now)
		}
	}
	p, retryAfter, allowed := u.condition.request(priority, now)
	if !allowed {
		return u.turnAway(t, limitRefusal(retryAfter), now)
	}
	defer func() { p.cancel(g.now()) }()
	o := u.admit(t, c, now)
	r.Waited = g.now().Sub(arrived)
	if o.Result != kqcall.Answered {
		return u.turnAway(t, o, now)
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
	if o = kqcall.RefuseQuarantined(); !g.quarantine.IsRefused(c.Fingerprint, g.now()) {
		o = g.confirm(u, a, c, t, &p, cold)
	}
	if o.Result != kqcall.Answered {
		released = true
		load := u.releaseSlot(t, o, false, 0, g.now())
		if o.Reason != kqcall.Quarantined && o.Reason != kqcall.KeyRevoked {
			load = fullLoad(load)
		}
		return o, load
	}
	c.Instance, began = a.Instance, g.now()
	g.nesting.Begin(c)
	defer g.nesting.End(c.ID)
	o = g.exchange(u, a, c, began)
	g.recordFate(c, a, o, began)
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
		if c.ResponseError != nil {
			g.conditions.ResponseMalformed(a, c.ID, c.ResponseError, now)
		}
		u.releaseSlot(t, o, upstreamFailed || c.BodyFailed, now.Sub(began), now)
	}
	return o, u.load(t, ended)
}

// confirm decides whether the upstream may get a call that has a slot, and returns kqcall.OK() if
// so. What the upstream bears may have changed while the call waited, and the call's API key may
// have been removed.
func (g *Gate) confirm(u *upstream, a kqlocal.Announcement, c *kqcall.Call, t *kqslots.Ticket, p *permit, cold ColdStart) kqcall.Outcome {
	if g.isRevoked(c) {
		return kqcall.Refuse(kqcall.KeyRevoked)
	}
	if u.condition.isLeaving() {
		return kqcall.Refuse(kqcall.Draining)
	}
	if now := g.now(); g.grace.IsSet() && !g.grace.Allows(u.load(t, now).ExpectedWork, now) {
		o := kqcall.Refuse(kqcall.Draining)
		o.RetryAfter = kqgrace.RetryAfter
		return o
	}
	// A health check that names no limit does not lift that of the calls' answers.
	heard := func(c kqcall.Condition, r kqcall.ServerReport) {
		u.report(r, g.now())
		if c.Limited || c.Leaving {
			g.recordCondition(u, a, c, time.Time{})
		}
	}
	if cold.Bound > 0 && !u.cold.admit(cold, p.priority, g.dialect, heard, g.now) {
		return coldRefusal()
	}
	retryAfter, allowed := p.send(g.now())
	if allowed {
		return kqcall.OK()
	}
	if cold.Bound > 0 {
		u.cold.forget()
	}
	return limitRefusal(retryAfter)
}

// refuse returns the outcome of a call that the gate does not pass on. If the node stops, its callers
// are told when it may have started again.
func (g *Gate) refuse(reason kqcall.Reason) kqcall.Outcome {
	o := kqcall.Refuse(reason)
	if g.draining.Load() {
		o.RetryAfter = kqgrace.RetryAfter
	}
	return o
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
func (g *Gate) exchange(u *upstream, a kqlocal.Announcement, c *kqcall.Call, now time.Time) kqcall.Outcome {
	o := g.sendToUpstream(u, a, c, now)
	if o.Result == kqcall.Answered && g.buffer.absorb(c) != nil {
		c.Response.Reset()
		o = incompleteOutcome(c, g.now())
	}
	if c.ResponseError != nil {
		g.conditions.ResponseMalformed(a, c.ID, c.ResponseError, g.now())
	}
	if o.Reason == kqcall.Cut && u.client.IsRefused() {
		o.Reason = kqcall.UpstreamEnded
		g.conditions.UpstreamEnded(a, c.Fingerprint, g.now())
	}
	return o
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
		u = newUpstream(a, g.queue(a.Slots, a.Address), g.dialect, g.conditions, g.memory)
		g.upstreams[key] = u
		u.condition.adopt(a, g.hints[a.Address], now)
		delete(g.hints, a.Address)
	}
	u.update(a, now)
	return u
}

// sendToUpstream sends the call and returns its outcome. A response which says that the
// call did not run becomes a refusal.
func (g *Gate) sendToUpstream(u *upstream, a kqlocal.Announcement, c *kqcall.Call, now time.Time) kqcall.Outcome {
	c.WriteUpstreamHeaders(now)
	o := u.client.Do(c)
	if o.Result != kqcall.Answered {
		return o
	}
	var verdict kqcall.Verdict
	if c.Dialect != nil {
		verdict = c.Dialect.ReadVerdict(c)
	}
	if verdict.NotRunReason != kqcall.Misdirected {
		g.recordCondition(u, a, kqcall.ReadCondition(c.Dialect, &c.Response.Header), now)
		u.report(kqcall.ReadReport(c.Dialect, &c.Response.Header), g.now())
	}
	kqcall.StripResponse(&c.Response.Header)
	if c.Dialect == nil && c.RefusalMeansNotRun && c.Response.StatusCode() == fasthttp.StatusServiceUnavailable {
		verdict.NotRunReason = kqcall.RefusedByUpstream
	}
	if verdict.NotRunReason == kqcall.NoReason {
		return o
	}
	refusal := kqcall.Refuse(verdict.NotRunReason)
	refusal.RetryAfter = kqcall.ReadRetryAfter(&c.Response.Header)
	if c.Dialect != nil {
		c.Response.Reset()
	}
	return refusal
}

// recordCondition records what the answer to a call or health check that was sent at the given
// time says of the upstream.
func (g *Gate) recordCondition(u *upstream, a kqlocal.Announcement, c kqcall.Condition, sent time.Time) {
	now := g.now()
	if u.condition.update(a, c, sent, now) {
		g.onDeparture(a, now)
	}
}

// upstreamStatus returns the HTTP status with which the upstream answered or shed the call,
// 0 for any other outcome. It is always 200 if a dialect says that the call was shed.
func upstreamStatus(c *kqcall.Call, o kqcall.Outcome) int {
	if o.Result != kqcall.Answered && o.Reason != kqcall.RefusedByUpstream {
		return 0
	}
	return c.Response.StatusCode()
}
