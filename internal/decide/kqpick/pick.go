package kqpick

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqeject"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// sampleSize is the number of upstreams sampled for each call. With two, calls meet
	// slow upstreams by chance; with all, every entry chooses the same one. maxSampleSize
	// bounds the sample when some of the upstreams fail part of their calls.
	sampleSize    = 4
	maxSampleSize = 8
	// localFactor scales the expected time in the entry's own failure domain. A round trip
	// to another domain takes 1 to 3 ms on calls of 30 to 150 ms, and traffic between
	// domains is paid for.
	localFactor = 0.8
	// queueingUtilization is the share of slots in use above which a call is expected to
	// queue, given a report that is some calls old. occupancyCost is the weight of the
	// share of slots in use at any level, which spreads calls over equal upstreams.
	queueingUtilization = 0.75
	occupancyCost       = 0.25
	// coldFactorBeforeWarm is how many times slower an upstream is expected to be until the
	// end of the cold start that it announced.
	coldFactorBeforeWarm = 2.0
	// failureCost is the cost of a failed call in units of a call's work. The call is lost
	// or, under an operators' bound on retries, retried elsewhere if it is idempotent, which
	// spends a budget shared by all nodes. The cost applies while less than
	// spareUtilization of the service's slots are in use.
	failureCost      = 40.0
	spareUtilization = 0.5
	// saturatedUtilization is the share of slots in use, including waiting calls, from
	// which on the service has more calls than it can run at once.
	saturatedUtilization = 1.0
	// coldFactor is how many times slower an upstream counts as when it is added, unless
	// it announces its warm-up itself. It falls to 1 over coldDuration.
	coldFactor   = 4.0
	coldDuration = 10 * time.Second
	// reportTTL is how long the running and waiting calls and the wait of a load report are
	// used. Its work is used until the next report, and its failure rate decays.
	reportTTL = time.Second
	// aggregateTTL is how long the median work and the utilization are cached.
	aggregateTTL = 100 * time.Millisecond
	// unsaturatedReportTTL is how long a load report decides whether an upstream has a free
	// slot while the service is not saturated: about the duration of a call.
	unsaturatedReportTTL = 100 * time.Millisecond
)

type (
	// Pool holds one entry's view of the upstreams of one service. It is not safe for
	// concurrent use.
	Pool struct {
		domain     kqname.Domain
		uniform    bool
		candidates []kqmember.Candidate
		upstreams  []*PoolUpstream
		eligible   []*PoolUpstream
		ejector    kqeject.Ejector
		// medianWork is the median of the upstreams' reported work at medianWorkAt.
		medianWork   time.Duration
		medianWorkAt time.Time
		// lastUtilization is the share of the service's slots in use at utilizationAt.
		lastUtilization float64
		utilizationAt   time.Time
		initialized     bool
		// away is set if the latest call might leave the entry's domain.
		away bool
	}

	// Option configures a Pool.
	Option func(*Pool)
)

// WithUniform makes the pool choose uniformly at random and eject no upstream, as a
// baseline for comparison.
func WithUniform(uniform bool) Option { return func(p *Pool) { p.uniform = uniform } }

// New returns the pool of an entry in the given failure domain.
func New(domain kqname.Domain, options ...Option) *Pool {
	p := &Pool{domain: domain}
	for _, o := range options {
		o(p)
	}
	return p
}

// Set replaces the list of upstreams and keeps the state of those that remain. The first
// upstreams of a pool count as warm unless they announce their warm-up, since they started
// before the entry and nothing else is known of them.
func (p *Pool) Set(all []kqmember.Candidate, now time.Time) {
	if p.initialized && len(all) == len(p.candidates) && (len(all) == 0 || &all[0] == &p.candidates[0]) {
		return
	}
	old := p.upstreams
	p.candidates, p.upstreams = all, make([]*PoolUpstream, 0, len(all))
	for _, c := range all {
		i := slices.IndexFunc(old, func(upstream *PoolUpstream) bool {
			return upstream.Node == c.Node && upstream.Version == c.Version && upstream.Gate == c.Gate
		})
		if i < 0 {
			p.upstreams = append(p.upstreams, p.admit(c, now))
			continue
		}
		upstream := old[i]
		old = slices.Delete(slices.Clone(old), i, i+1)
		if !c.FirstAnnounced.Equal(upstream.FirstAnnounced) {
			upstream.seenAt = now
		}
		upstream.Candidate = c
		p.upstreams = append(p.upstreams, upstream)
	}
	for _, upstream := range old {
		p.ejector.Release(&upstream.state)
	}
	p.initialized = true
}

// Pick returns an upstream that the criteria allow and whose node has not been tried, or
// nil if there is none. The caller must call Done for it.
func (p *Pool) Pick(criteria Criteria, tried []kqname.Node, now time.Time, random *rand.Rand) *PoolUpstream {
	chosen := p.selectUpstream(criteria, tried, now, random)
	if chosen == nil {
		return nil
	}
	if chosen.state.Ejected() {
		chosen.state.StartProbe()
	}
	chosen.sent++
	chosen.routeLoads.sent(criteria.Route)
	return chosen
}

// Done records the outcome of a call for which Pick returned the upstream, and the load
// that the gate reported, if any. failed is set for an answer with a 5xx status.
func (p *Pool) Done(upstream *PoolUpstream, outcome kqcall.Outcome, failed bool, load *kqcall.Load, now time.Time) {
	upstream.sent--
	if load != nil {
		usual := usualLoad(*load)
		upstream.load, upstream.reportedAt = usual, now
		upstream.routeLoads.update(&usual, now)
	}
	if p.uniform {
		return
	}
	switch {
	case isGone(outcome.Reason):
		p.ejector.RecordUnreachable(&upstream.state, now)
	case outcome.Result == kqcall.Unknown && outcome.Reason != kqcall.Cancelled, failed, outcome.Reason == kqcall.RefusedByUpstream:
		p.ejector.RecordFailure(&upstream.state, len(p.upstreams), now)
	case outcome.Result != kqcall.Answered:
		p.ejector.RecordNoResult(&upstream.state, load != nil, now)
	default:
		p.ejector.RecordSuccess(&upstream.state, len(p.upstreams), upstream.load.RecentDuration, p.ejectionMedian(now), now)
	}
}

// selectUpstream returns an ejected upstream that is due for a probe, if there is one. Else it
// chooses among the upstreams that are not ejected or, if there are none, uses lastResort.
func (p *Pool) selectUpstream(criteria Criteria, tried []kqname.Node, now time.Time, random *rand.Rand) *PoolUpstream {
	if criteria.Affinity != 0 {
		return p.mostAffine(criteria, tried)
	}
	p.eligible = p.eligible[:0]
	ejected := 0
	for _, upstream := range p.upstreams {
		if !criteria.allows(upstream.Candidate) || slices.Contains(tried, upstream.Node) {
			continue
		}
		if upstream.state.Ejected() {
			if upstream.state.ProbeDue(now) {
				return upstream
			}
			ejected++
			continue
		}
		p.eligible = append(p.eligible, upstream)
	}
	if i := slices.IndexFunc(p.eligible, func(u *PoolUpstream) bool { return u.Node == criteria.LeastPreferred }); i >= 0 && len(p.eligible) > 1 {
		p.eligible = slices.Delete(p.eligible, i, i+1)
	}
	if len(p.eligible) == 0 && ejected > 0 {
		p.lastResort(criteria, tried)
	}
	if len(p.eligible) == 0 {
		return nil
	}
	if p.uniform {
		return p.eligible[random.IntN(len(p.eligible))]
	}
	return p.selectBest(p.eligible, criteria, now, random)
}

// mostAffine returns the allowed upstream that has the criteria's rank for the affinity (rendezvous
// hashing), whether or not this entry has ejected it: other entries may not have.
func (p *Pool) mostAffine(criteria Criteria, tried []kqname.Node) *PoolUpstream {
	weight := func(u *PoolUpstream) uint64 {
		return xxhash.Sum64String(strconv.FormatUint(criteria.Affinity, 36) + " " + string(u.Node))
	}
	p.eligible = p.eligible[:0]
	for _, upstream := range p.upstreams {
		if criteria.allows(upstream.Candidate) && !slices.Contains(tried, upstream.Node) {
			p.eligible = append(p.eligible, upstream)
		}
	}
	if criteria.AffinityRank >= len(p.eligible) {
		return nil
	}
	slices.SortFunc(p.eligible, func(a, b *PoolUpstream) int { return cmp.Compare(weight(b), weight(a)) })
	return p.eligible[criteria.AffinityRank]
}

// lastResort makes the ejected upstream with the earliest end of its ejection eligible: if
// all upstreams are ejected, one may still answer, while a refusal certainly fails. Each
// failure extends an upstream's ejection, so one that was only briefly unreachable is found
// within a call or two. Choosing by load instead would keep selecting dead upstreams, which
// run nothing and look idle.
func (p *Pool) lastResort(criteria Criteria, tried []kqname.Node) {
	var first *PoolUpstream
	for _, upstream := range p.upstreams {
		if !criteria.allows(upstream.Candidate) || slices.Contains(tried, upstream.Node) {
			continue
		}
		if first == nil || upstream.state.EjectedUntil().Before(first.state.EjectedUntil()) {
			first = upstream
		}
	}
	p.eligible = append(p.eligible, first)
}

// admit returns the state of an upstream that is new to the pool.
func (p *Pool) admit(c kqmember.Candidate, now time.Time) *PoolUpstream {
	upstream := &PoolUpstream{Candidate: c, addedAt: now, seenAt: now}
	if !p.initialized {
		upstream.addedAt = now.Add(-coldDuration)
	}
	return upstream
}

// isGone reports whether the reason means that the upstream accepts no calls at all.
func isGone(r kqcall.Reason) bool {
	switch r {
	case kqcall.Draining, kqcall.NoUpstream, kqcall.ConnectFailed, kqcall.RolledBack:
		return true
	default:
		return false
	}
}
