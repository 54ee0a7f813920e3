package kqpick

import (
	"math/rand/v2"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqeject"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqfailrate"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// PoolUpstream is one upstream of a pool.
type PoolUpstream struct {
	kqmember.Candidate
	// sent is the number of this entry's in-flight calls to the upstream.
	sent       int
	load       kqcall.Load
	reportedAt time.Time
	addedAt    time.Time
	// seenAt is when the pool first had the upstream, or had it with its latest cold start.
	// addedAt is earlier for those of the
	// first list, which are not new.
	seenAt time.Time
	state  kqeject.State
	// routeLoads holds the last report for each route.
	routeLoads routeLoads
}

// LastReport returns the upstream's last reported load and its age, both zero if there is
// none.
func (upstream *PoolUpstream) LastReport(now time.Time) (kqcall.Load, time.Duration) {
	if upstream.reportedAt.IsZero() {
		return upstream.load, 0
	}
	return upstream.load, now.Sub(upstream.reportedAt)
}

// InFlight returns the number of this entry's in-flight calls to the upstream.
func (upstream *PoolUpstream) InFlight() int { return upstream.sent }

// Ejected reports whether the upstream is ejected.
func (upstream *PoolUpstream) Ejected() bool { return upstream.state.Ejected() }

// selectBest returns the best sampled upstream of the own failure domain if it is fast
// enough, else the best of a random sample of all. It reorders the list.
func (p *Pool) selectBest(list []*PoolUpstream, criteria Criteria, now time.Time, random *rand.Rand) *PoolUpstream {
	if localBest := p.localBest(list, criteria, now, random); localBest != nil {
		return localBest
	}
	found, _ := p.leastEstimate(list, criteria.Route, now, random)
	return found
}

// localBest returns the best sampled upstream of the own failure domain if its weighted
// estimate is below criteria.ComfortableLatency, else nil. A faster upstream in another
// domain would gain nothing then, while its responses would cross between domains. If it
// reports its load, the limit is lower and depends on whether calls leave the domain already.
func (p *Pool) localBest(list []*PoolUpstream, criteria Criteria, now time.Time, random *rand.Rand) *PoolUpstream {
	local := 0
	for i, upstream := range list {
		if upstream.Domain == p.domain {
			list[local], list[i] = list[i], list[local]
			local++
		}
	}
	found, leastEstimate := p.leastEstimate(list[:local], criteria.Route, now, random)
	limit := criteria.ComfortableLatency.Seconds()
	if found != nil && found.reportsLoad() {
		limit *= p.domainLimit()
	}
	if p.away = leastEstimate >= limit; p.away {
		return nil
	}
	return found
}

// leastEstimate returns the upstream with the least estimate in a random sample of the
// list, and that estimate: its expected time in seconds, weighted by its failure penalty
// and, in the own failure domain, by localFactor. Sampling keeps entries, each of which
// only has the load reports in the responses to its own calls, from all choosing the same
// upstream.
//
// While the service has spare capacity, upstreams that fail part of their calls do not
// count towards the sample size: if half of the upstreams fail, one in sixteen
// samples of size four would hold only failing ones. Upstreams that report their load count
// half, see reportedEstimate.
func (p *Pool) leastEstimate(list []*PoolUpstream, route kqname.Route, now time.Time, random *rand.Rand) (found *PoolUpstream, leastEstimate float64) {
	hasSpareCapacity := p.hasSpareCapacity(now)
	counted := 0
	for i := range min(maxSampleSize, len(list)) {
		if counted >= 2*sampleSize {
			break
		}
		j := i + random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
		upstream := list[i]
		if !hasSpareCapacity || upstream.failureRate(now) == 0 {
			counted++
			if !upstream.reportsLoad() {
				counted++
			}
		}
		estimate := p.expectedTime(upstream, route, now) * upstream.failurePenalty(hasSpareCapacity, now)
		if upstream.Domain == p.domain {
			estimate *= localFactor
		}
		if found == nil || estimate < leastEstimate {
			found, leastEstimate = upstream, estimate
		}
	}
	return found, leastEstimate
}

// expectedTime returns the expected time in seconds of a call of the route at the upstream,
// from its gate's report for the route. Without such a report, it uses the route's least
// work at any upstream. Only if none has reported the route does it use the upstream's
// recent work for calls of any route: by that, an upstream that mostly serves orders of
// 100 ms would look too slow for lookups of 20 ms and get none, even while the others have
// more lookups than slots.
func (p *Pool) expectedTime(upstream *PoolUpstream, route kqname.Route, now time.Time) float64 {
	load := upstream.routeLoads.current(route, now)
	if load.expectedWork == 0 {
		expectedWork := p.LeastWork(route)
		if expectedWork == 0 {
			expectedWork = upstream.expectedWork(p.medianRecentWork(now))
		}
		return upstream.estimateFromWork(expectedWork, now)
	}
	slots := float64(max(upstream.Slots, 1))
	expectedWork := load.expectedWork.Seconds() * upstream.coldSlowdown(now)
	if upstream.reportsLoad() {
		return upstream.reportedEstimate(expectedWork*upstream.slowdown(now), load, now)
	}
	ahead := float64(load.sentSince) / slots
	return expectedWork*(1+occupancyCost*float64(upstream.sent+1)/slots+ahead) + load.wait.Seconds()
}

// expectedWork returns the upstream's reported recent work of its short calls of any route,
// or median, that of all upstreams, but at least 1 ms, if it has not reported.
func (upstream *PoolUpstream) expectedWork(median time.Duration) time.Duration {
	if upstream.load.RecentDuration > 0 {
		return upstream.load.RecentDuration
	}
	return max(median, time.Millisecond)
}

// estimateFromWork returns the expected time in seconds of a call with the given work at
// the upstream, including its cold slowdown and the wait for a slot. Utilization above
// queueingUtilization costs twice the work per unit, since calls then queue.
func (upstream *PoolUpstream) estimateFromWork(work time.Duration, now time.Time) float64 {
	busy := float64(upstream.sent + 1)
	if now.Sub(upstream.reportedAt) < reportTTL {
		busy += float64(upstream.load.Running + upstream.load.Waiting)
	}
	used := busy / float64(max(upstream.Slots, 1))
	return work.Seconds() * upstream.coldSlowdown(now) * upstream.slowdown(now) * (1 + occupancyCost*used + queueingCost*max(used-queueingUtilization, 0))
}

// failurePenalty returns the factor on the expected time for the risk of failure. It is 1
// without spare capacity: the other upstreams could not take the calls, and a call that
// may fail is better than one that waits until its caller has given up.
func (upstream *PoolUpstream) failurePenalty(hasSpareCapacity bool, now time.Time) float64 {
	if !hasSpareCapacity {
		return 1
	}
	return 1 + failureCost*upstream.failureRate(now)
}

// failureRate returns the reported failure rate, decayed by its age.
func (upstream *PoolUpstream) failureRate(now time.Time) float64 {
	return kqfailrate.Decay(upstream.load.FailureRate, now.Sub(upstream.reportedAt))
}

// coldSlowdown returns how many times slower the upstream is expected to be while it is
// cold. WarmFrom is the announced end of its cold start; without one, the slowdown falls
// linearly over coldDuration after the upstream was added. WarmFrom is by the clock of the
// upstream's node, which may be ahead, so the slowdown ends at the latest when the announced
// duration has passed since the pool has had the upstream.
func (upstream *PoolUpstream) coldSlowdown(now time.Time) float64 {
	if !upstream.WarmFrom.IsZero() {
		coldFor := upstream.WarmFrom.Sub(upstream.FirstAnnounced)
		if now.Before(upstream.WarmFrom) && now.Sub(upstream.seenAt) < coldFor {
			return coldFactorBeforeWarm
		}
		return 1
	}
	if age := now.Sub(upstream.addedAt); age < coldDuration {
		return 1 + (coldFactor-1)*(1-age.Seconds()/coldDuration.Seconds())
	}
	return 1
}

// hasFreeSlot reports whether the upstream probably has a free slot. If the service is
// saturated, only a recent report shows one. Otherwise, without a recent report, there is
// one unless this entry's own calls use all slots.
func (upstream *PoolUpstream) hasFreeSlot(saturated bool, now time.Time) bool {
	ttl := unsaturatedReportTTL
	if saturated {
		ttl = reportTTL
	}
	if now.Sub(upstream.reportedAt) >= ttl {
		return !saturated && upstream.sent < upstream.Slots
	}
	return upstream.load.Waiting == 0 && max(upstream.sent, upstream.load.Running) < upstream.Slots
}
