package kqpick

import (
	"math/rand/v2"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqeject"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqfailing"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Peer is one upstream of a pool.
type Peer struct {
	kqmember.Candidate
	sent     int
	load     kqcall.Load
	reported time.Time
	first    time.Time
	state    kqeject.State
	routes   routes
}

// Known returns the load that the upstream's gate told last, and its age; both
// are 0 where it told none.
func (o *Peer) Known(now time.Time) (kqcall.Load, time.Duration) {
	if o.reported.IsZero() {
		return o.load, 0
	}
	return o.load, now.Sub(o.reported)
}

// Sent returns how many calls of this entry are on their way to the upstream.
func (o *Peer) Sent() int { return o.sent }

// Ejected reports whether the upstream is left out.
func (o *Peer) Ejected() bool { return o.state.Ejected() }

// best returns the one with the least expected time of a few that are drawn at
// random from the list, whose order changes.
func (p *Pool) best(list []*Peer, target Target, now time.Time, random *rand.Rand) *Peer {
	if near := p.near(list, target, now, random); near != nil {
		return near
	}
	found, _ := p.least(list, target.Route, now, random)
	return found
}

// near returns the best upstream of the own failure domain if it is expected to
// answer in ample time, else nil. That faster ones elsewhere stand idle gains
// nothing then, while the answer would cross between domains.
func (p *Pool) near(list []*Peer, target Target, now time.Time, random *rand.Rand) *Peer {
	own := 0
	for i, o := range list {
		if o.Domain == p.domain {
			list[own], list[i] = list[i], list[own]
			own++
		}
	}
	found, least := p.least(list[:own], target.Route, now, random)
	if least >= target.Ample.Seconds() {
		return nil
	}
	return found
}

// least returns the one with the least expected time of a few that are drawn from the
// list, and that time in seconds. The best of all would be the same for every entry,
// each of which knows only what came back with its own answers: they would meet there.
//
// While the service is calm, those that fail part of their calls do not count among
// the few: with half of the upstreams failing, every sixteenth draw would hold no other.
func (p *Pool) least(list []*Peer, route kqname.Route, now time.Time, random *rand.Rand) (found *Peer, least float64) {
	calm := p.calm(now)
	well := 0
	for i := range min(mostDrawn, len(list)) {
		if well == drawn {
			break
		}
		j := i + random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
		o := list[i]
		if !calm || o.failing(now) == 0 {
			well++
		}
		score := p.expect(o, route, now) * o.risk(calm, now)
		if o.Domain == p.domain {
			score *= nearFactor
		}
		if found == nil || score < least {
			found, least = o, score
		}
	}
	return found, least
}

// expect is the time, in seconds, that a call of the route is expected to take there: what
// its gate told of such calls. Where it told of none, it is what they take elsewhere: by
// calls of other kinds, an upstream whose orders take 100 ms would be taken to need as
// long for a lookup of 20 ms, would be sent none, and would never be known better while
// the others have more lookups than slots. Where nobody told, calls of any kind count.
func (p *Pool) expect(o *Peer, route kqname.Route, now time.Time) float64 {
	k := o.routes.known(route, now)
	if k.work == 0 {
		work := p.Work(route)
		if work == 0 {
			work = o.work(p.typical(now))
		}
		return o.score(work, now)
	}
	slots := float64(max(o.Slots, 1))
	work := k.work.Seconds() * o.cold(now)
	ahead := float64(k.since) / slots
	return work*(1+crowd*float64(o.sent+1)/slots+ahead) + k.wait.Seconds()
}

// work is what calls of any kind take there, or at the median upstream where it told
// nothing.
func (o *Peer) work(median time.Duration) time.Duration {
	if o.load.Work > 0 {
		return o.load.Work
	}
	return max(median, time.Millisecond)
}

// score is the time, in seconds, that a call with that work is expected to take there:
// more of it while the upstream is cold, and the wait for a slot.
func (o *Peer) score(work time.Duration, now time.Time) float64 {
	busy := float64(o.sent + 1)
	if now.Sub(o.reported) < reportLasts {
		busy += float64(o.load.Running + o.load.Waiting)
	}
	used := busy / float64(max(o.Slots, 1))
	return work.Seconds() * o.cold(now) * (1 + crowd*used + 2*max(used-full, 0))
}

// risk is what the expected time counts for as the call may fail. While the service's
// slots are mostly in use, the others have no room for the calls of those that fail, and
// a call that may fail is better than one that waits until nobody wants its answer.
func (o *Peer) risk(calm bool, now time.Time) float64 {
	if !calm {
		return 1
	}
	return 1 + failureCost*o.failing(now)
}

// failing is the part of the upstream's calls that fail, as far as is known.
func (o *Peer) failing(now time.Time) float64 {
	return kqfailing.Faded(o.load.Failing, now.Sub(o.reported))
}

// cold is how many times slower the upstream is taken to be from its start.
func (o *Peer) cold(now time.Time) float64 {
	if !o.Warm.IsZero() {
		if now.Before(o.Warm) {
			return announcedCold
		}
		return 1
	}
	if age := now.Sub(o.first); age < coldFor {
		return 1 + (coldFactor-1)*(1-age.Seconds()/coldFor.Seconds())
	}
	return 1
}

// spare reports whether the upstream has a slot free as far as is known; where the
// service is crowded, only one that said so lately has.
func (o *Peer) spare(crowded bool, now time.Time) bool {
	lasts := spareLasts
	if crowded {
		lasts = reportLasts
	}
	if now.Sub(o.reported) >= lasts {
		return !crowded && o.sent < o.Slots
	}
	return o.load.Waiting == 0 && max(o.sent, o.load.Running) < o.Slots
}
