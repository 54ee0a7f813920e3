package kqtracker

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

// failureStatus is the lowest HTTP status that counts as a failure of the
// upstream; lower ones are successes or errors of the caller.
const failureStatus = 500

// Split returns the version and the upstreams that a call to a service may go to.
func (t *Tracker) Split(s kqresource.Service, now time.Time, random kqshare.Random) kqpick.Criteria {
	// currentVersion is the version after the rollouts that are done so far; empty stands
	// for any. If the service states none, it begins as the From of the first plan that has
	// one, even if that plan has not begun. A plan whose From is another version is
	// skipped, and so is an ordered plan, whose From is empty, once currentVersion is set.
	// New versions of other ordered rollouts that may not get traffic, whether rolled back
	// or not begun, are added to rolledBackVersions.
	currentVersion := s.Service.Version
	rolledBackVersions := t.rolledBackVersions(s.Service.Name)
	for _, ps := range t.planStatesOf(s.Service.Name) {
		ps.mu.Lock()
		p, from, to := ps.progress, ps.plan.From, ps.plan.To
		ps.mu.Unlock()
		if currentVersion == "" {
			currentVersion = from
		}
		if currentVersion != from {
			continue
		}
		if p.Final == kqprogress.Done {
			if from != "" || hasUpstream(t.directory.Upstreams(s.Service.Name), to) {
				currentVersion = to
			}
			continue
		}
		if p.MayGetTraffic() {
			return ps.split(t.directory.Upstreams(s.Service.Name), p.Step, rolledBackVersions).Split(now, random)
		}
		if from == "" {
			rolledBackVersions = append(rolledBackVersions, to)
		}
	}
	return kqpick.Criteria{Version: currentVersion, ExcludedVersions: rolledBackVersions}
}

// hasUpstream reports whether any upstream of the version accepts new calls.
func hasUpstream(all []kqmember.Candidate, v kqname.UpstreamVersion) bool {
	return slices.ContainsFunc(all, func(c kqmember.Candidate) bool { return c.Version == v })
}

// split returns how calls are split among the upstreams at a step. The result is cached
// until the step or the upstreams change, since it is needed for every call; a change of
// excludedVersions alone does not renew it.
func (ps *planState) split(all []kqmember.Candidate, step int, excludedVersions []kqname.UpstreamVersion) kqshare.Distribution {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	k := splitKey{step: step, count: len(all)}
	if len(all) > 0 {
		k.first = &all[0]
	}
	if ps.cachedKey != k {
		ps.cachedKey, ps.cachedSplit = k, distributionOf(kqshare.Share{
			From: ps.plan.From, To: ps.plan.To, Fraction: kqstep.Share(ps.plan, step), FewUpstreams: step <= kqstep.SmallShareStep, MayGrow: kqstep.MayExceedShare(ps.plan, step), ExcludedVersions: excludedVersions,
		}, all)
	}
	return ps.cachedSplit
}

// distributionOf returns the split of calls for a share. A version without upstreams,
// for example after all of them crashed together, gets no calls: the other version serves
// until they are back.
func distributionOf(share kqshare.Share, all []kqmember.Candidate) kqshare.Distribution {
	old, next := false, false
	for _, c := range all {
		old = old || share.IsOld(c.Version)
		next = next || c.Version == share.To
	}
	switch {
	case !next:
		return kqshare.Distribution{From: share.From, ExcludedVersions: share.ExcludedFromOld()}
	case !old:
		return kqshare.Distribution{From: share.To}
	default:
		return share.Distribution(all)
	}
}

// Refuses reports whether the gate must reject calls for a version: the last rollout to it in
// the document, by start, or, without one, an ordered rollout to it that was removed, was
// rolled back, and it is neither the service's version nor the old version of a later rollout
// that is open.
func (t *Tracker) Refuses(name kqname.Service, version kqname.UpstreamVersion) bool {
	t.mu.RLock()
	serviceVersion := t.services[name].version
	refused := t.services[name].rolledBackVersions[version]
	t.mu.RUnlock()
	for _, ps := range t.planStatesOf(name) {
		ps.mu.Lock()
		p, to, from := ps.progress, ps.plan.To, ps.plan.From
		ps.mu.Unlock()
		if to == version {
			refused = p.RolledBack && p.Final != kqprogress.Done || p.Final == kqprogress.FinalRollback
		}
		if from == version && from != "" && p.Open() {
			refused = false
		}
	}
	return refused && version != serviceVersion
}

// Observe counts a call that this node's gate sent to its upstream, for every open
// rollout from or to the call's version that had started when the call began. started is
// when the upstream started, and warm when its cold start ends according to the upstream, or
// zero if it did not announce that.
func (t *Tracker) Observe(o kqgate.Observation, started, warm time.Time) {
	for _, ps := range t.planStatesOf(o.Service) {
		ps.mu.Lock()
		open := ps.progress.Open() && !o.Began.Before(ps.plan.Start)
		old, to, cold := ps.plan.IsOld(o.Version), ps.plan.To, o.Began.Before(ps.plan.WarmAt(started, warm))
		ps.mu.Unlock()
		if !open || !old && o.Version != to || !ps.shouldCount(o) {
			continue
		}
		switch {
		case !hasUsableLatency(o):
			ps.ledger.Count(o.Route, func(r *kqledger.Row) { r.CellOf(o.Version == to).CountUntimed(isFailure(o)) })
		case cold:
			ps.ledger.Count(kqevidence.ColdUpstreams, func(r *kqledger.Row) { r.CellOf(o.Version == to).Count(o.Took, isFailure(o)) })
			ps.ledger.Count(o.Route, func(r *kqledger.Row) { r.CellOf(o.Version == to).CountUntimed(isFailure(o)) })
		default:
			ps.ledger.Count(o.Route, func(r *kqledger.Row) { r.CellOf(o.Version == to).Count(o.Took, isFailure(o)) })
		}
	}
}

// shouldCount reports whether the call is counted. A dead server refuses every call that
// nodes still send to it, within a fraction of a millisecond and in clusters; if each
// counted, it would outweigh all working servers, and a good version would be rolled back
// because one server died. A failed connection counts again after one second and then every
// two seconds, until a connection succeeds, so that a version that accepts no connections is
// still detected.
func (ps *planState) shouldCount(o kqgate.Observation) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if o.Outcome.Reason != kqcall.ConnectFailed {
		ps.failureCountPause = 0
		return true
	}
	if ps.failureCountPause > 0 && o.Began.Sub(ps.lastCountedFailure) < ps.failureCountPause {
		return false
	}
	ps.lastCountedFailure, ps.failureCountPause = o.Began, min(max(2*ps.failureCountPause, minFailureCountPause), maxFailureCountPause)
	return true
}

// hasUsableLatency reports whether the call's duration at the upstream is a valid latency.
// A call that the upstream rejected, never received or cut off ends early: an upstream that
// sheds many calls would look many times faster than it is, and the other version slower. A
// call that ran until its timeout or until its caller left counts, since it would have
// taken even longer.
func hasUsableLatency(o kqgate.Observation) bool {
	if o.Outcome.Result == kqcall.Unknown {
		return o.Outcome.Reason == kqcall.Timeout || o.Outcome.Reason == kqcall.Cancelled
	}
	return o.Outcome.Result == kqcall.Answered
}

// rolledBackVersions returns the versions of a service whose ordered rollouts were removed
// without ending as done.
func (t *Tracker) rolledBackVersions(name kqname.Service) []kqname.UpstreamVersion {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if len(t.services[name].rolledBackVersions) == 0 {
		return nil
	}
	return slices.Collect(maps.Keys(t.services[name].rolledBackVersions))
}

func (t *Tracker) planStatesOf(name kqname.Service) []*planState {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.services[name].planStates
}

// isFailure reports whether the upstream failed the call. A caller that disconnects does not
// count as a failure, as at the gate: more callers disconnect from the version that has more
// calls in flight. A version that keeps callers waiting is detected by its latency.
func isFailure(o kqgate.Observation) bool {
	if o.Outcome.Reason == kqcall.Cancelled {
		return false
	}
	return o.Outcome.Result == kqcall.Unknown || o.Status >= failureStatus || o.Outcome.Reason == kqcall.ConnectFailed
}
