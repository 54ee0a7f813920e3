package kqpick

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// maxRoutes bounds the routes that are remembered for each upstream.
const maxRoutes = 64

type (
	// routes holds the load that an upstream's gate reported for each route.
	routes map[kqname.Route]*routeLoad

	routeLoad struct {
		work, wait time.Duration
		reportedAt time.Time
		// sentSince counts the calls sent to the upstream since the report.
		sentSince int
	}
)

// update stores the report that came with an answer.
func (r *routes) update(l *kqcall.Load, now time.Time) {
	if l.Route == "" || l.Expected == 0 {
		return
	}
	if *r == nil {
		*r = make(routes)
	}
	k, ok := (*r)[l.Route]
	if !ok {
		if len(*r) >= maxRoutes {
			return
		}
		k = &routeLoad{}
		(*r)[l.Route] = k
	}
	*k = routeLoad{work: l.Expected, wait: l.Wait, reportedAt: now}
}

// sent counts a call that is sent to the upstream.
func (r routes) sent(route kqname.Route) {
	if k, ok := r[route]; ok {
		k.sentSince++
	}
}

// current returns the load reported for the route. Once the report is outdated, the work
// still counts but the wait does not.
func (r routes) current(route kqname.Route, now time.Time) routeLoad {
	k, ok := r[route]
	if !ok {
		return routeLoad{}
	}
	current := *k
	if now.Sub(k.reportedAt) >= reportTTL {
		current.wait = 0
	}
	return current
}
