package kqentry

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqfingerprint"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqquarantine"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
)

type (
	// Quarantine knows under which requests upstreams have ended.
	Quarantine interface {
		Admit(c *kqcall.Call, side kqquarantine.Side) kqquarantine.Verdict
		Finish(c *kqcall.Call, side kqquarantine.Side)
		RecordEnd(r kqfingerprint.Fingerprint, from kqquarantine.Origin, e kqquarantine.End)
		RecordAnswer(r kqfingerprint.Fingerprint, sent, now time.Time)
		AwaitSpread(c *kqcall.Call)
	}

	// noopQuarantine suspects no request.
	noopQuarantine struct{}
)

// Admit implements Quarantine.
func (noopQuarantine) Admit(*kqcall.Call, kqquarantine.Side) kqquarantine.Verdict {
	return kqquarantine.Allow
}

// Finish implements Quarantine.
func (noopQuarantine) Finish(*kqcall.Call, kqquarantine.Side) {}

// RecordEnd implements Quarantine.
func (noopQuarantine) RecordEnd(kqfingerprint.Fingerprint, kqquarantine.Origin, kqquarantine.End) {}

// RecordAnswer implements Quarantine.
func (noopQuarantine) RecordAnswer(kqfingerprint.Fingerprint, time.Time, time.Time) {}

// AwaitSpread implements Quarantine.
func (noopQuarantine) AwaitSpread(*kqcall.Call) {}

// WithQuarantine refuses calls of requests under which upstreams have ended, and records under which
// upstreams end.
func WithQuarantine(q Quarantine) Option { return func(e *Entry) { e.quarantine = q } }

// admitSuspect returns the criteria for the next attempt and whether there may be one, as far as
// other calls of the same request tell, and if not, the refusal. If it probes, finishProbe must be
// called after it.
func (e *Entry) admitSuspect(c *kqcall.Call, criteria kqpick.Criteria) (kqpick.Criteria, kqcall.Outcome) {
	criteria.Affinity, criteria.AffinityRank, criteria.LeastPreferred = 0, 0, ""
	switch e.quarantine.Admit(c, kqquarantine.Outgoing) {
	case kqquarantine.Allow:
	case kqquarantine.Caution:
		criteria.LeastPreferred = e.self
	case kqquarantine.Probe:
		c.Probing, criteria.Affinity = true, max(c.Fingerprint.Hash(), 1)
	case kqquarantine.ProbeElsewhere:
		c.Probing, criteria.Affinity, criteria.AffinityRank = true, max(c.Fingerprint.Hash(), 1), 1
	case kqquarantine.Wait:
		return criteria, kqcall.RefuseSuspect()
	default:
		return criteria, kqcall.RefuseQuarantined()
	}
	return criteria, kqcall.OK()
}

// finishProbe ends the probe that the call is, if it is one.
func (e *Entry) finishProbe(c *kqcall.Call) {
	if c.Probing {
		c.Probing = false
		e.quarantine.Finish(c, kqquarantine.Outgoing)
	}
}

// recordFate records what an attempt that was sent at the given time tells of the call's request, and of
// the one that it is nested in: whether the upstream ended, answered or may end yet.
// answeredByGate reports whether the outcome is the gate's word. A gate that does not answer may
// have been lost together with its upstream.
func (e *Entry) recordFate(f *callState, to kqmember.Candidate, o kqcall.Outcome, answeredByGate bool, sent, now time.Time) {
	c := &f.call
	switch o.Result {
	case kqcall.Answered:
		if to.Node != e.self && c.Response.StatusCode() < failureStatus && !c.Response.IsBodyStream() {
			e.quarantine.RecordAnswer(c.Fingerprint, sent, now)
		}
		return
	case kqcall.NotRun:
		return
	}
	end := kqquarantine.End{
		Upstream: kqquarantine.Start{Node: to.Node, ID: to.Start}, Certainty: kqquarantine.Possible, Sent: sent, Known: now,
	}
	switch {
	case o.Reason == kqcall.UpstreamEnded:
		end.Certainty = kqquarantine.Confirmed
		if c.UpstreamStart != 0 {
			end.Upstream.ID = c.UpstreamStart
		}
	case !answeredByGate && o.Reason != kqcall.Cancelled && now.Before(c.Deadline):
		end.Certainty = kqquarantine.Unconfirmed
	}
	e.quarantine.RecordEnd(c.Fingerprint, kqquarantine.Origin{Service: c.Service, Route: c.Route}, end)
	if p := f.parent; p != nil && end.Certainty != kqquarantine.Possible {
		e.quarantine.RecordEnd(p.Fingerprint, kqquarantine.Origin{Service: p.Service, Route: p.Route}, end)
	}
}
