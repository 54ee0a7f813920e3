package kqpick

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// mostRoutes bounds the routes that are known of one upstream.
const mostRoutes = 64

type (
	// routes is what an upstream's gate has told of calls of each route.
	routes map[kqname.Route]*routeLoad

	routeLoad struct {
		work, wait time.Duration
		reported   time.Time
		// since counts the calls sent there after the report.
		since int
	}
)

// learn takes in what a gate told with an answer.
func (r *routes) learn(l *kqcall.Load, now time.Time) {
	if l.Route == "" || l.Expected == 0 {
		return
	}
	if *r == nil {
		*r = make(routes)
	}
	k, ok := (*r)[l.Route]
	if !ok {
		if len(*r) >= mostRoutes {
			return
		}
		k = &routeLoad{}
		(*r)[l.Route] = k
	}
	*k = routeLoad{work: l.Expected, wait: l.Wait, reported: now}
}

// sent counts a call that is sent to the upstream.
func (r routes) sent(route kqname.Route) {
	if k, ok := r[route]; ok {
		k.since++
	}
}

// known returns what is known of calls of the route; a report that is old tells of the
// work, but not of the queue.
func (r routes) known(route kqname.Route, now time.Time) routeLoad {
	k, ok := r[route]
	if !ok {
		return routeLoad{}
	}
	known := *k
	if now.Sub(k.reported) >= reportLasts {
		known.wait = 0
	}
	return known
}
