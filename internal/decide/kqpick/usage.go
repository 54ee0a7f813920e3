package kqpick

import (
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Spare reports whether, by what is known, an upstream that the target allows and
// whose node was not tried has a slot free. A report that is old says nothing, and
// counts as room: asking is cheap beside refusing a caller whom somebody could
// have served. Where the service as a whole has more calls than slots, it counts as none:
// each entry hears of each of many upstreams so seldom that every call would be offered
// to one gate after the other, with its body each time, until the links of the servers
// are full and even those calls are late that have a slot.
func (p *Pool) Spare(target Target, tried []kqname.Node, now time.Time) bool {
	crowded := p.usage(now) >= crowdedUse
	for _, o := range p.peers {
		if target.allows(o.Candidate) && !slices.Contains(tried, o.Node) && !o.state.Ejected() && o.spare(crowded, now) {
			return true
		}
	}
	return false
}

// Work returns the least time that calls of the route take at one of the upstreams, by
// what their gates told; 0 where none did.
func (p *Pool) Work(route kqname.Route) time.Duration {
	least := time.Duration(0)
	for _, o := range p.peers {
		if k, ok := o.routes[route]; ok && !o.state.Ejected() && (least == 0 || k.work < least) {
			least = k.work
		}
	}
	return least
}

// typical returns the median of what the upstreams' calls took lately.
func (p *Pool) typical(now time.Time) time.Duration {
	if now.Sub(p.judged) < medianLasts {
		return p.median
	}
	p.judged, p.median = now, 0
	var works []time.Duration
	for _, o := range p.peers {
		if o.load.Work > 0 {
			works = append(works, o.load.Work)
		}
	}
	// The median of two would be one of them: neither tells which is off.
	if len(works) > 2 {
		slices.Sort(works)
		p.median = works[len(works)/2]
	}
	return p.median
}

// outlying returns the work beside which an upstream may be left out as a slow one, 0 if
// none may. While the others have room, what it would have run is run sooner elsewhere.
// While they have none, a slow answer is better than the refusal that comes in its place:
// left out, a third of a full service's slots stand idle for seconds.
func (p *Pool) outlying(now time.Time) time.Duration {
	if !p.calm(now) {
		return 0
	}
	return p.typical(now)
}

// calm reports whether the service has slots to spare, by the mean of what its
// upstreams' gates told lately: a single report may be a second old, in which one
// upstream fills up, while the mean of many follows the load.
func (p *Pool) calm(now time.Time) bool { return p.usage(now) < calmUse }

// usage returns the part of the service's slots in use as it was counted lately.
func (p *Pool) usage(now time.Time) float64 {
	if now.Sub(p.counted) >= medianLasts {
		p.counted, p.inUse = now, p.use(now)
	}
	return p.inUse
}

// use returns the part of the slots in use, of the upstreams whose reports are fresh;
// 0 where none is.
func (p *Pool) use(now time.Time) float64 {
	busy, slots := 0, 0
	for _, o := range p.peers {
		if now.Sub(o.reported) < reportLasts {
			busy += o.load.Running + o.load.Waiting
			slots += o.Slots
		}
	}
	return float64(busy) / float64(max(slots, 1))
}
