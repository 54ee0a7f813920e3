package kqpick

import (
	"math/rand/v2"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqeject"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
)

// Peer is one upstream of a pool.
type Peer struct {
	kqmember.Candidate
	sent     int
	load     kqcall.Load
	reported time.Time
	first    time.Time
	state    kqeject.State
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

func (p *Pool) better(list []*Peer, now time.Time, random *rand.Rand) *Peer {
	i := random.IntN(len(list))
	if len(list) == 1 {
		return list[i]
	}
	j := random.IntN(len(list) - 1)
	if j >= i {
		j++
	}
	if list[j].score(p.median, now) < list[i].score(p.median, now) {
		return list[j]
	}
	return list[i]
}

func (o *Peer) score(median time.Duration, now time.Time) float64 {
	busy := float64(o.sent + 1)
	if now.Sub(o.reported) < reportLasts {
		busy += float64(o.load.Running + o.load.Waiting)
	}
	cold := 1.0
	if age := now.Sub(o.first); age < coldFor {
		cold += (coldFactor - 1) * (1 - age.Seconds()/coldFor.Seconds())
	}
	work := o.load.Work
	if work == 0 {
		work = max(median, time.Millisecond)
	}
	return busy / float64(max(o.Slots, 1)) * work.Seconds() * cold
}

// spare reports whether the upstream has a slot free as far as is known.
func (o *Peer) spare(now time.Time) bool {
	if now.Sub(o.reported) >= spareLasts {
		return o.sent < o.Slots
	}
	return o.load.Waiting == 0 && max(o.sent, o.load.Running) < o.Slots
}

// hasRoom reports whether the upstream is neither busy nor cold nor slow beside
// the others.
func (o *Peer) hasRoom(median time.Duration, now time.Time) bool {
	if median > 0 && o.load.Work > kqeject.SlowFactor*median/2 {
		return false
	}
	busy := o.sent
	if now.Sub(o.reported) < reportLasts {
		if o.load.Waiting > 0 {
			return false
		}
		busy = max(busy, o.load.Running)
	}
	return now.Sub(o.first) >= coldFor && float64(busy) < room*float64(o.Slots)
}
