package kqgate

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqquarantine"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Quarantine knows under which requests upstreams have ended.
type Quarantine interface {
	Admit(c *kqcall.Call, side kqquarantine.Side) kqquarantine.Verdict
	IsRefused(r kqfingerprint.Fingerprint, now time.Time) bool
	Finish(c *kqcall.Call, side kqquarantine.Side)
	BeginProbe(c *kqcall.Call) bool
	EndProbe()
	RecordEnd(r kqfingerprint.Fingerprint, from kqquarantine.Origin, e kqquarantine.End)
	RecordAnswer(r kqfingerprint.Fingerprint, sent, now time.Time)
}

// WithQuarantine refuses calls of requests under which upstreams have ended, and records under which
// the upstreams beside the node self end.
func WithQuarantine(self kqname.Node, q Quarantine) Option {
	return func(g *Gate) { g.self, g.quarantine = self, q }
}

// Admit implements Quarantine.
func (noop) Admit(*kqcall.Call, kqquarantine.Side) kqquarantine.Verdict { return kqquarantine.Allow }

// IsRefused implements Quarantine.
func (noop) IsRefused(kqfingerprint.Fingerprint, time.Time) bool { return false }

// BeginProbe implements Quarantine.
func (noop) BeginProbe(*kqcall.Call) bool { return true }

// EndProbe implements Quarantine.
func (noop) EndProbe() {}

// Finish implements Quarantine.
func (noop) Finish(*kqcall.Call, kqquarantine.Side) {}

// RecordEnd implements Quarantine.
func (noop) RecordEnd(kqfingerprint.Fingerprint, kqquarantine.Origin, kqquarantine.End) {}

// RecordAnswer implements Quarantine.
func (noop) RecordAnswer(kqfingerprint.Fingerprint, time.Time, time.Time) {}

// admitSuspect returns whether a call may be sent as far as other calls of its request tell, and
// how to refuse it if not. If it may, finish must be called once the call has ended. An entry of
// this node has asked already, except for the gate's turn.
func (g *Gate) admitSuspect(c *kqcall.Call) (finish func(), refusal kqcall.Outcome) {
	finish = func() {}
	if !c.Probing {
		switch g.quarantine.Admit(c, kqquarantine.Incoming) {
		case kqquarantine.Allow, kqquarantine.Caution:
			return finish, kqcall.OK()
		case kqquarantine.Probe, kqquarantine.ProbeElsewhere:
			c.Probing = true
			finish = func() { c.Probing = false; g.quarantine.Finish(c, kqquarantine.Incoming) }
		case kqquarantine.Wait:
			return finish, kqcall.RefuseSuspect()
		default:
			return finish, kqcall.RefuseQuarantined()
		}
	}
	if !g.quarantine.BeginProbe(c) {
		finish()
		return func() {}, kqcall.RefuseSuspect()
	}
	finishProbe := finish
	return func() { finishProbe(); g.quarantine.EndProbe() }, kqcall.OK()
}

// recordFate records what a call that was sent at the given time tells of its request: whether its
// upstream ended, answered it, or may end yet.
func (g *Gate) recordFate(c *kqcall.Call, a kqlocal.Announcement, o kqcall.Outcome, sent time.Time) {
	now := g.now()
	certainty := kqquarantine.Possible
	switch {
	case o.Result == kqcall.Answered:
		if c.Response.StatusCode() < fasthttp.StatusInternalServerError && isBuffered(c) {
			g.quarantine.RecordAnswer(c.Fingerprint, sent, now)
		}
		return
	case o.Result == kqcall.NotRun:
		return
	case o.Reason == kqcall.UpstreamEnded:
		certainty, c.UpstreamStart = kqquarantine.Confirmed, a.StartID()
	}
	g.quarantine.RecordEnd(c.Fingerprint, kqquarantine.Origin{Service: c.Service, Route: c.Route}, kqquarantine.End{
		Upstream: kqquarantine.Start{Node: g.self, ID: a.StartID()}, Certainty: certainty, Sent: sent, Known: now,
	})
}
