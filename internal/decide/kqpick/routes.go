package kqpick

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// maxRoutes bounds the routes that are remembered for each upstream.
const maxRoutes = 64

type (
	// routeLoads holds the load that an upstream's gate reported for each route.
	routeLoads map[kqname.Route]*routeLoad

	routeLoad struct {
		expectedWork, wait time.Duration
		reportedAt         time.Time
		// sentSince counts the calls sent to the upstream since the report.
		sentSince int
	}
)

// update stores the load report of a response.
func (r *routeLoads) update(report *kqcall.Load, now time.Time) {
	if report.Route == "" || report.ExpectedWork == 0 {
		return
	}
	if *r == nil {
		*r = make(routeLoads)
	}
	load, ok := (*r)[report.Route]
	if !ok {
		if len(*r) >= maxRoutes {
			return
		}
		load = &routeLoad{}
		(*r)[report.Route] = load
	}
	*load = routeLoad{expectedWork: report.ExpectedWork, wait: report.Wait, reportedAt: now}
}

// sent counts a call that is sent to the upstream.
func (r routeLoads) sent(route kqname.Route) {
	if load, ok := r[route]; ok {
		load.sentSince++
	}
}

// current returns the load reported for the route. Once the report is outdated, the work
// still counts but the wait does not.
func (r routeLoads) current(route kqname.Route, now time.Time) routeLoad {
	load, ok := r[route]
	if !ok {
		return routeLoad{}
	}
	current := *load
	if now.Sub(load.reportedAt) >= reportTTL {
		current.wait = 0
	}
	return current
}
