package kqpick

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqslowdown"
)

const (
	// occupancyTTL is how long the running and waiting calls of a load report count for an
	// upstream that reports its load. An entry of a fleet of 61 hears from each of 28
	// upstreams about every 1.5 s; with reportTTL most of them would count as idle.
	occupancyTTL = 5 * time.Second
	// queueingCost is the weight of the share of slots in use above queueingUtilization.
	queueingCost = 2.0
	// leaveShare and returnShare are the shares of the comfortable latency from which on
	// calls leave their domain, and below which they stay in it again, if upstreams report
	// their load: their estimates tell earlier that a domain fills up. With a single limit,
	// entries whose estimates are near it change sides with every other call.
	leaveShare, returnShare = 0.75, 0.45
)

// usualLoad returns the load with its works at usual speed. The slowdown of a moment must not
// stay in an estimate that is used until the next report, which may come seconds later.
func usualLoad(load kqcall.Load) kqcall.Load {
	if load.Slowdown > 0 {
		load.ExpectedWork = time.Duration(float64(load.ExpectedWork) / load.Slowdown)
		load.RecentDuration = time.Duration(float64(load.RecentDuration) / load.Slowdown)
	}
	return load
}

// reportsLoad reports whether the upstream stated its slowdown by its gate's last report.
func (upstream *PoolUpstream) reportsLoad() bool { return upstream.load.Slowdown > 0 }

// slowdown returns how many times longer than usual work at the upstream is expected to take
// now. A report comes at any moment of a slow period with equal chance, so the chance that the
// period still lasts falls linearly with the report's age.
func (upstream *PoolUpstream) slowdown(now time.Time) float64 {
	age := now.Sub(upstream.reportedAt)
	if !upstream.reportsLoad() || age >= kqslowdown.Period {
		return 1
	}
	return 1 + (upstream.load.Slowdown-1)*(1-age.Seconds()/kqslowdown.Period.Seconds())
}

// domainLimit returns the share of the comfortable latency up to which calls stay in the
// entry's domain.
func (p *Pool) domainLimit() float64 {
	if p.away {
		return returnShare
	}
	return leaveShare
}

// reportedEstimate returns the expected time in seconds of a call that takes the expected work
// in seconds at an upstream that reports its load. Unlike for others, the running calls count
// before they fill the slots, and for occupancyTTL: work at usual speed is the same in each
// report, so that otherwise all entries would send to the fastest upstreams until these queue.
// It takes samples of twice the size, since estimates that count running calls and entries
// that heard at different times do not herd.
func (upstream *PoolUpstream) reportedEstimate(expectedWork float64, load routeLoad, now time.Time) float64 {
	slots := float64(max(upstream.Slots, 1))
	busy := float64(upstream.sent + 1)
	if now.Sub(upstream.reportedAt) < occupancyTTL {
		busy = max(busy, float64(upstream.load.Running+upstream.load.Waiting+load.sentSince+1))
	}
	used := busy / slots
	ahead := float64(load.sentSince) / slots
	return expectedWork*(1+occupancyCost*used+queueingCost*max(used-queueingUtilization, 0)+ahead) + load.wait.Seconds()
}
