package kqlocal

import (
	"math"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// limitInterval is the least time between two published limits of an upstream, and
	// limitDifference the least share by which they differ. Each is sent to all nodes.
	limitInterval   = 2 * time.Second
	limitDifference = 0.1
)

// limit is the limit that an upstream names, as it was last published.
type limit struct {
	limited     bool
	perSecond   float64
	publishedAt time.Time
}

// SetLimit publishes the limit that the upstream at the address names, in calls a second, or
// that it names none. It leaves out small and quick changes.
func (u *Upstreams) SetLimit(address kqname.Address, limited bool, perSecond float64, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e, ok := u.byAddress[address]
	isSimilar := e.limited == limited && (!limited || math.Abs(perSecond-e.perSecond) <= limitDifference*e.perSecond)
	if !ok || isSimilar || now.Sub(e.publishedAt) < limitInterval {
		return
	}
	if !limited {
		perSecond = 0
	}
	e.limit = limit{limited: limited, perSecond: perSecond, publishedAt: now}
	u.byAddress[address] = e
	u.publish()
}
