package kqpick

import (
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// HasFreeSlot reports whether an upstream that the criteria allow, and whose node has not
// been tried, probably has a free slot. An upstream with an outdated report counts as free
// unless this entry's own calls use all its slots, since an attempt is cheap compared with
// refusing a call that could be served. If the service is saturated, such an upstream
// counts as full: in a service with many upstreams each entry rarely gets a report of each,
// so every call would be offered to one gate after another, with its body, until the
// servers' links are full and even calls that have a slot are late.
func (p *Pool) HasFreeSlot(criteria Criteria, tried []kqname.Node, now time.Time) bool {
	saturated := p.utilization(now) >= saturatedUtilization
	for _, upstream := range p.upstreams {
		if criteria.allows(upstream.Candidate) && !slices.Contains(tried, upstream.Node) && !upstream.state.Ejected() && upstream.hasFreeSlot(saturated, now) {
			return true
		}
	}
	return false
}

// LeastWork returns the least reported work of the route's calls at any upstream that is
// not ejected, or 0 if none is known.
func (p *Pool) LeastWork(route kqname.Route) time.Duration {
	least := time.Duration(0)
	for _, upstream := range p.upstreams {
		if load, ok := upstream.routeLoads[route]; ok && !upstream.state.Ejected() && (least == 0 || load.expectedWork < least) {
			least = load.expectedWork
		}
	}
	return least
}

// medianRecentWork returns the cached median of the upstreams' recent work, or 0 if at most
// two have reported theirs.
func (p *Pool) medianRecentWork(now time.Time) time.Duration {
	if now.Sub(p.medianWorkAt) < aggregateTTL {
		return p.medianWork
	}
	p.medianWorkAt, p.medianWork = now, 0
	var works []time.Duration
	for _, upstream := range p.upstreams {
		if upstream.load.RecentDuration > 0 {
			works = append(works, upstream.load.RecentDuration)
		}
	}
	// With two values, the median would be one of them, which may be the outlier.
	if len(works) > 2 {
		slices.Sort(works)
		p.medianWork = works[len(works)/2]
	}
	return p.medianWork
}

// ejectionMedian returns the median work that slow upstreams are compared with for
// ejection, or 0 if none may be ejected. With spare capacity, other upstreams run the
// calls sooner. Without it, a slow answer is better than a refusal: ejecting one upstream
// of three would leave a third of a full service's slots idle for seconds.
func (p *Pool) ejectionMedian(now time.Time) time.Duration {
	if !p.hasSpareCapacity(now) {
		return 0
	}
	return p.medianRecentWork(now)
}

// hasSpareCapacity reports whether less than spareUtilization of the service's slots are in
// use, by the mean over recent reports. A single report may be a second old, and an
// upstream can fill up in that time, while the mean of many reports follows the load.
func (p *Pool) hasSpareCapacity(now time.Time) bool { return p.utilization(now) < spareUtilization }

// utilization returns the cached share of the service's slots in use.
func (p *Pool) utilization(now time.Time) float64 {
	if now.Sub(p.utilizationAt) >= aggregateTTL {
		p.utilizationAt, p.lastUtilization = now, p.measureUtilization(now)
	}
	return p.lastUtilization
}

// measureUtilization returns the share of slots in use over the upstreams with recent
// reports, or 0 if there are none. Waiting calls count as slots in use.
func (p *Pool) measureUtilization(now time.Time) float64 {
	busy, slots := 0, 0
	for _, upstream := range p.upstreams {
		if now.Sub(upstream.reportedAt) < reportTTL {
			busy += upstream.load.Running + upstream.load.Waiting
			slots += upstream.Slots
		}
	}
	return float64(busy) / float64(max(slots, 1))
}
