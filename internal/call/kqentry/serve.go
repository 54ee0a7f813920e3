package kqentry

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// ServeOutside answers callers from outside the mesh: headers of ours are not
// theirs to set.
func (e *Entry) ServeOutside(ctx *fasthttp.RequestCtx) {
	if kqcall.Strip(&ctx.Request.Header) > 0 {
		e.forged()
	}
	var told kqcall.Told
	if e.dialect != nil {
		told = e.dialect.Accept(&ctx.Request.Header)
	}
	e.serve(ctx, kqname.Caller(ctx.RemoteIP().String()), 0, told)
}

// ServeLocal answers calls from the node's own upstream, which may pass on the
// depth and the remaining time of the call that it works on, and nothing else.
func (e *Entry) ServeLocal(ctx *fasthttp.RequestCtx, caller kqname.Caller) {
	depth, left := kqcall.Context(&ctx.Request.Header)
	e.serve(ctx, caller, depth+1, kqcall.Told{Left: left})
}

// Leave asks callers to close their connections: the node is going.
func (e *Entry) Leave() { e.leaving.Store(true) }

// Quiet returns for how long no call has come.
func (e *Entry) Quiet(now time.Time) time.Duration {
	return now.Sub(e.began) - time.Duration(e.arrived.Load())
}

// Calls returns how many calls are under way.
func (e *Entry) Calls() int { return int(e.calls.Load()) }

// Refuse refuses all calls that come from now on: the process ends before they
// would have their answers, which would be cut off.
func (e *Entry) Refuse() { e.refusing.Store(true) }

// Close ends the idle connections to other nodes' gates.
func (e *Entry) Close() { e.clients.close() }

// LetGo ends the idle connections to the gate of a node that is going, which waits
// for that.
func (e *Entry) LetGo(gate kqname.Address) {
	if found, ok := e.clients.find(gate); ok {
		found.Close()
	}
}

// Sweep closes what has been idle and forgets gates that are gone.
func (e *Entry) Sweep(now time.Time) { e.clients.sweep(now) }

func (e *Entry) serve(ctx *fasthttp.RequestCtx, caller kqname.Caller, depth int, told kqcall.Told) {
	e.calls.Add(1)
	defer e.calls.Add(-1)
	now := e.now()
	e.arrived.Store(int64(now.Sub(e.began)))
	kqcall.Strip(&ctx.Request.Header)
	stripHop(&ctx.Request.Header)
	number := e.number.Add(1)
	f := &flight{}
	f.call = kqcall.Call{
		ID: told.ID, Caller: caller, Origin: e.origin, Depth: depth, Arrived: now, Dialect: e.dialect,
		Cancel: &f.cancel, Request: &ctx.Request, Response: &ctx.Response,
	}
	c := &f.call
	c.Look = f.line.Look
	if c.ID == "" {
		c.ID = e.id(number)
	}
	if told.Left > 0 {
		c.Deadline = now.Add(told.Left)
	}
	if above, ok := e.nesting.Find(told.Above); ok && told.Above != "" {
		c.Caller, c.Depth, c.Repeat = above.Caller, above.Depth+1, above.Repeat
	}
	e.returns.began(f, now)
	e.hangup.Begin(&f.line, number, ctx.Conn(), &f.cancel, now)
	var o kqcall.Outcome
	if !e.keeper.Try(part, func() { o = e.do(f, now) }) {
		o = f.panicked()
	}
	e.hangup.End(&f.line)
	if o.Result == kqcall.NotRun {
		f.settle(&o, e.now())
	}
	e.counter.Ended(o)
	e.returns.ended(f, o)
	if c.Depth > 0 && scarce(o) {
		e.nesting.Starve(told.Above)
	}
	c.Answer(o)
	e.keeper.Try("record", func() {
		e.recorder.Ended(Record{Call: c, Outcome: o, Status: ctx.Response.StatusCode(), Version: f.version, Tries: f.tries}, e.now())
	})
	// Refused callers come back on a new connection; the one that they leave behind
	// would hold a descriptor for as long as callers keep idle connections, and in
	// a storm of refusals the process would run out of them.
	if e.leaving.Load() || e.dialect != nil && o.Result == kqcall.NotRun {
		ctx.SetConnectionClose()
	}
}

func (e *Entry) do(f *flight, now time.Time) kqcall.Outcome {
	c := &f.call
	if c.Depth > kqcall.MaxDepth {
		return kqcall.Refuse(kqcall.Malformed)
	}
	if e.refusing.Load() {
		o := kqcall.Refuse(kqcall.Draining)
		o.RetryAfter = awayFor
		return o
	}
	snapshot, route, refusal := e.match(c, now)
	if refusal != kqcall.NoReason {
		o := kqcall.Refuse(refusal)
		if refusal == kqcall.NoConfig {
			o.RetryAfter = retryAfter
		}
		return o
	}
	f.version = snapshot.Version()
	found, _ := snapshot.Service(route.Choose(rand.Float64()))
	fill(c, route, found, now)
	if !c.Target.IsZero() {
		c.Target = c.Target.Add(f.first.Sub(now))
	}
	if !now.Before(c.Deadline) {
		return kqcall.Refuse(kqcall.Late)
	}
	target := e.splitter.Split(found, c)
	target.Route = c.Route
	target.Ample = kqpick.Ample(time.Duration(route.TargetMS)*time.Millisecond, c.Depth > 0)
	s := e.service(c.Service)
	if !s.begin(c, e.baseline, now) {
		o := kqcall.Refuse(kqcall.Overload)
		o.RetryAfter = retryAfter
		return o
	}
	o := e.tries(f, s, target, now)
	if o.Reason == kqcall.QueueFull {
		s.refused(c)
	}
	return o
}

// tries sends the call until it has an answer, may have run, or may not be sent
// again.
func (e *Entry) tries(f *flight, s *service, target kqpick.Target, now time.Time) kqcall.Outcome {
	c := &f.call
	var space [maxGates]kqname.Node
	tried, most, sends, ran, repeat := space[:0], attempts(c), 0, 0, c.Repeat
	last := kqcall.Refuse(kqcall.NoUpstream)
	last.RetryAfter = retryAfter
	for {
		c.Version = target.Version
		to, gate, try := s.pick(c, e.directory.Upstreams(c.Service), target, tried, now)
		if to == nil && target.HasNext() {
			target = target.Next()
			continue
		}
		if to == nil {
			return honest(last, ran)
		}
		tried = append(tried, gate.Node)
		var load kqcall.Load
		var told bool
		f.sent, c.Repeat = true, repeat || sends > 0
		if !e.keeper.Try(part, func() { last, load, told = e.send(c, gate) }) {
			last = kqcall.Lose(kqcall.Panicked)
		}
		f.sent = ran > 0 || last.Result != kqcall.NotRun
		sent := now
		now = e.now()
		try.Ejected = s.done(c, to, last, load, told, now)
		try.Took, try.Outcome = now.Sub(sent), last
		if last.Result == kqcall.Answered {
			try.Status = c.Response.StatusCode()
		}
		if reached(last) {
			sends++
		}
		if last.Result != kqcall.NotRun {
			ran++
		}
		possible := sends < most && len(tried) < maxGates && now.Before(c.Deadline) && !c.Cancel.Done()
		try.Again = possible && (s.again(c, last) || s.elsewhere(last, target, tried, now) || e.plainRetry(c, last))
		f.tries = append(f.tries, try)
		if !try.Again {
			return honest(last, ran)
		}
		e.counter.Retried(last.Reason)
		target = target.Next()
	}
}

// scarce reports whether a call was not served for want of room.
func scarce(o kqcall.Outcome) bool {
	switch o.Reason {
	case kqcall.QueueFull, kqcall.Overload, kqcall.Shed, kqcall.Late:
		return true
	default:
		return false
	}
}

// panicked is the outcome of a call whose handling panicked.
func (f *flight) panicked() kqcall.Outcome {
	if f.sent {
		return kqcall.Lose(kqcall.Panicked)
	}
	o := kqcall.Refuse(kqcall.Panicked)
	o.RetryAfter = retryAfter
	return o
}

// attempts returns how many upstreams a call may be sent to.
func attempts(c *kqcall.Call) int {
	if c.MaxAttempts > 0 {
		return c.MaxAttempts
	}
	return maxTries
}

// honest makes an outcome that says "not run" tell the truth of all sendings: an
// upstream that was sent the call before may have run it.
func honest(last kqcall.Outcome, ran int) kqcall.Outcome {
	if last.Result != kqcall.NotRun || ran == 0 {
		return last
	}
	return kqcall.Lose(last.Reason)
}

// reached reports whether a call with that outcome has been at an upstream, and
// not only at the gate before it.
func reached(o kqcall.Outcome) bool {
	return o.Result != kqcall.NotRun || o.Reason == kqcall.Shed || o.Reason == kqcall.Moved
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
	c.ReadStarved()
	load, told := kqcall.ReadLoad(&c.Response.Header)
	return c.Outcome(), load, told && load.Slots > 0
}

func (e *Entry) id(number uint64) kqcall.ID {
	var space [32]byte
	return kqcall.ID(strconv.AppendUint(append(space[:0], e.prefix...), number, 36))
}
