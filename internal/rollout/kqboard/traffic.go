package kqboard

import (
	"maps"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqledger"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqshare"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqstep"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// failureStatus is the lowest HTTP status that counts as the upstream's
// failure; those below are the caller's doing or a success.
const failureStatus = 500

// Split returns where a call to a service may go.
func (b *Board) Split(s kqresource.Service, now time.Time, random kqshare.Random) kqpick.Target {
	base := s.Service.Version
	taken := b.taken(s.Service.Name)
	for _, e := range b.of(s.Service.Name) {
		e.mu.Lock()
		p, from, to := e.progress, e.plan.From, e.plan.To
		e.mu.Unlock()
		if base == "" {
			base = from
		}
		if base != from {
			continue
		}
		if p.Final == kqprogress.Done {
			if from != "" || serves(b.directory.Upstreams(s.Service.Name), to) {
				base = to
			}
			continue
		}
		if p.Serves() {
			return e.split(b.directory.Upstreams(s.Service.Name), p.Step, taken).Split(now, random)
		}
		if from == "" {
			taken = append(taken, to)
		}
	}
	return kqpick.Target{Version: base, Not: taken}
}

// serves reports whether any upstream of the version takes new work.
func serves(all []kqmember.Candidate, v kqname.UpstreamVersion) bool {
	return slices.ContainsFunc(all, func(c kqmember.Candidate) bool { return c.Version == v })
}

// split returns how calls are split among the upstreams at a step. It is worked
// out anew only when either changes: every call asks for it.
func (e *entry) split(all []kqmember.Candidate, step int, taken []kqname.UpstreamVersion) kqshare.Burst {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := splitKey{step: step, count: len(all)}
	if len(all) > 0 {
		k.first = &all[0]
	}
	if e.splitFor != k {
		e.splitFor, e.splitting = k, burst(kqshare.Share{
			From: e.plan.From, To: e.plan.To, Of: kqstep.Share(e.plan, step), Small: step <= kqstep.Small, Grow: kqstep.MayExceedShare(e.plan, step), Not: taken,
		}, all)
	}
	return e.splitting
}

// burst keeps calls off a version that has no upstream left, as when a herd of
// them died: the other version serves until they are back.
func burst(share kqshare.Share, all []kqmember.Candidate) kqshare.Burst {
	old, next := false, false
	for _, c := range all {
		old = old || share.Old(c.Version)
		next = next || c.Version == share.To
	}
	switch {
	case !next:
		return kqshare.Burst{From: share.From, Not: share.Refused()}
	case !old:
		return kqshare.Burst{From: share.To}
	default:
		return share.Burst(all)
	}
}

// Refuses reports whether the gate must not let calls reach a version: it was
// taken back, and nothing else has brought it back into service.
func (b *Board) Refuses(name kqname.Service, version kqname.UpstreamVersion) bool {
	b.mu.RLock()
	base := b.services[name].version
	refused := b.services[name].taken[version]
	b.mu.RUnlock()
	for _, e := range b.of(name) {
		e.mu.Lock()
		p, to, from := e.progress, e.plan.To, e.plan.From
		e.mu.Unlock()
		if to == version {
			refused = p.RolledBack && p.Final != kqprogress.Done || p.Final == kqprogress.TakenBack
		}
		if from == version && from != "" && p.Open() {
			refused = false
		}
	}
	return refused && version != base
}

// Observe counts a call that this node's gate sent to its upstream, for every
// rollout that the call tells of. started is when the upstream started, and warm
// when its start is over as far as it said so, the zero time if it did not.
func (b *Board) Observe(o kqgate.Observation, started, warm time.Time) {
	for _, e := range b.of(o.Service) {
		e.mu.Lock()
		open := e.progress.Open() && !o.Began.Before(e.plan.Start)
		old, to, cold := e.plan.Old(o.Version), e.plan.To, o.Began.Before(e.plan.WarmAt(started, warm))
		e.mu.Unlock()
		if !open || !old && o.Version != to || !e.counts(o) {
			continue
		}
		switch {
		case !timed(o):
			e.ledger.Count(o.Route, func(r *kqledger.Row) { r.Of(o.Version == to).CountUntimed(failed(o)) })
		case cold:
			e.ledger.Count(kqevidence.Young, func(r *kqledger.Row) { r.Of(o.Version == to).Count(o.Took, failed(o)) })
			e.ledger.Count(o.Route, func(r *kqledger.Row) { r.Of(o.Version == to).CountUntimed(failed(o)) })
		default:
			e.ledger.Count(o.Route, func(r *kqledger.Row) { r.Of(o.Version == to).Count(o.Took, failed(o)) })
		}
	}
}

// counts reports whether the call is to be counted. A server that has died refuses
// each call that some node still tries, within a fraction of a millisecond and in
// clusters; counted each, it would speak louder than all servers that work, and a good
// version be taken back for the death of one. It is counted again after a second,
// and then each two, until it takes a call, so that a version that listens to nobody
// shows.
func (e *entry) counts(o kqgate.Observation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Outcome.Reason != kqcall.ConnectFailed {
		e.pause = 0
		return true
	}
	if e.pause > 0 && o.Began.Sub(e.unreachable) < e.pause {
		return false
	}
	e.unreachable, e.pause = o.Began, min(max(2*e.pause, firstPause), longestPause)
	return true
}

// timed reports whether the time for which the upstream had the call tells how long
// calls take there. A call that it turned away or never had, or that broke off, ends
// early: an upstream that turns many away would look many times faster than it is, and
// the other version slower. One that ran until its time was up or its caller left
// would have taken longer still.
func timed(o kqgate.Observation) bool {
	if o.Outcome.Result == kqcall.Unknown {
		return o.Outcome.Reason == kqcall.Timeout || o.Outcome.Reason == kqcall.Cancelled
	}
	return o.Outcome.Result == kqcall.Answered
}

// taken returns the versions of a service that ended orders took back.
func (b *Board) taken(name kqname.Service) []kqname.UpstreamVersion {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if len(b.services[name].taken) == 0 {
		return nil
	}
	return slices.Collect(maps.Keys(b.services[name].taken))
}

func (b *Board) of(name kqname.Service) []*entry {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.services[name].entries
}

// failed reports whether the upstream failed the call. That its caller left is no
// failure, as at the gate: callers leave the version with more of them in flight more
// often. A version that holds them shows by how long it had the calls.
func failed(o kqgate.Observation) bool {
	if o.Outcome.Reason == kqcall.Cancelled {
		return false
	}
	return o.Outcome.Result == kqcall.Unknown || o.Status >= failureStatus || o.Outcome.Reason == kqcall.ConnectFailed
}
