package kqworld

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqshare"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	coldFactor = 3
	// memory is how much of the wobble lasts from one second to the next.
	memory = 0.97
)

type (
	// World is one rollout's surroundings.
	World struct {
		Kind      Kind
		Servers   int
		SlotsEach int
		Window    time.Duration

		window       int
		rate, load   float64
		routes       []route
		differs      float64
		wobble       float64
		ownWobble    float64
		coldFor      int
		excluded     int
		begun        int
		spells       []spell
		herds        []herd
		effect       effect
		rival        effect
		from         int
		above        float64
		onRoute      int
		random       *rand.Rand
		shared, own  float64
		names        []kqname.Route
		all          []kqmember.Candidate
		truth, alone [kqevidence.Buckets]float64
	}

	// Second is what happened in one tick.
	Second struct {
		Sample kqevidence.Sample
		// Share is the part of all calls that the new version got.
		Share float64
		// Bad tells that the new version was bad in this tick, so that calls
		// could show it.
		Bad bool
		// Odds is how much likelier these calls are under the true badness,
		// or for a good version the smallest one, than without it: the log of
		// the ratio, in nats.
		Odds float64
	}

	// moment is what holds for one version during one tick.
	moment struct {
		rate, use      float64
		alive, cold    float64
		young          float64
		factor, errors float64
		cut            float64
	}
)

// New draws the world of a kind; equal arguments draw equal worlds.
func New(kind Kind, seed, index uint64) *World {
	w := &World{Kind: kind}
	w.draw(rand.New(rand.NewPCG(seed, index)))
	w.random = rand.New(rand.NewPCG(seed^0x9e3779b97f4a7c15, index))
	for i := range w.routes {
		w.names = append(w.names, kqname.Route(fmt.Sprintf("route-%d", i)))
	}
	for i := range w.Servers {
		w.all = append(w.all, w.candidate("old", i))
	}
	for i := range w.Servers {
		w.all = append(w.all, w.candidate("new", i))
	}
	return w
}

func (w *World) candidate(v kqname.UpstreamVersion, i int) kqmember.Candidate {
	return kqmember.Candidate{
		Upstream: kqmember.Upstream{Service: "service", Version: v, Slots: w.SlotsEach},
		Node:     kqname.Node(fmt.Sprintf("%s-%02d", v, i)),
	}
}

// Slots returns the old version's slots and the new one's, those of upstreams
// apart that started too lately for their slowness to count.
func (w *World) Slots(at int) (old, warm, cold int) {
	total := float64(w.Servers * w.SlotsEach)
	alive, _ := w.standing(at, true, w.coldFor)
	standing, young := w.standing(at, false, w.excluded)
	return int(total * alive), int(total * standing * (1 - young)), int(total * standing * young)
}

// Tick plays one second in which the new version's share is as given.
func (w *World) Tick(at int, of float64, small bool) Second {
	w.shared = memory*w.shared + w.wobble*math.Sqrt(1-memory*memory)*w.random.NormFloat64()
	w.own = memory*w.own + w.ownWobble*math.Sqrt(1-memory*memory)*w.random.NormFloat64()
	old, next := w.moments(at, of, small)
	bad := w.active(at, next)
	young := kqevidence.Pair{Route: kqevidence.Young}
	s := Second{Share: next.rate / (old.rate + next.rate), Bad: bad && next.rate > 0}
	for i := range w.routes {
		p := kqevidence.Pair{Route: w.names[i]}
		w.calls(&p.Old, &young.Old, i, old, none)
		e := none
		if bad && (w.onRoute < 0 || w.onRoute == i) {
			e = w.effect
		}
		s.Odds += w.calls(&p.New, &young.New, i, next, e)
		s.Sample = append(s.Sample, p)
	}
	s.Sample = append(s.Sample, young)
	return s
}

// candidates returns the upstreams that live, the old ones first.
func (w *World) candidates(old, next float64) []kqmember.Candidate {
	if old == 1 && next == 1 {
		return w.all
	}
	some := append([]kqmember.Candidate{}, w.all[:int(math.Ceil(old*float64(w.Servers)))]...)
	return append(some, w.all[w.Servers:w.Servers+int(math.Ceil(next*float64(w.Servers)))]...)
}

// active reports whether the badness shows at the load that the new version's
// upstreams have.
func (w *World) active(at int, next moment) bool {
	return !w.Kind.Good() && at >= w.from && next.use >= w.above
}

func (w *World) moments(at int, of float64, small bool) (old, next moment) {
	share := kqshare.Share{From: "old", To: "new", Of: of, Small: small}
	old, next = w.surroundings(at, true), w.surroundings(at, false)
	b := share.Burst(w.candidates(old.alive, next.alive))
	serving := float64(w.Servers)
	if b.Nodes != nil {
		serving = float64(len(b.Nodes))
	}
	day := w.rate * (1 + 0.2*math.Sin(2*math.Pi*float64(at)/1800))
	if next.alive > 0 && serving < float64(w.Servers) {
		// The few are picked among those that live.
		next.alive = 1
	}
	next.rate = day * b.Within * b.Duty
	next.use = day * b.Within * w.load / w.rate * float64(w.Servers) / serving / max(next.alive, 0.05)
	if factor := w.slowdown(at, next); factor*next.use > 1 {
		// What the slots cannot take is refused at the gate and goes to the
		// old version.
		next.rate /= factor * next.use
	}
	old.rate = day - next.rate
	old.use = old.rate / w.rate * w.load / max(old.alive, 0.05)
	next.factor *= w.differs * math.Exp(w.own)
	return old, next
}

func (w *World) slowdown(at int, next moment) float64 {
	if w.active(at, next) && w.onRoute < 0 {
		return w.effect.factor
	}
	return 1
}

func (w *World) surroundings(at int, old bool) moment {
	m := moment{factor: math.Exp(w.shared)}
	m.alive, m.cold = w.standing(at, old, w.coldFor)
	_, m.young = w.standing(at, old, w.excluded)
	m.young = max(m.young, m.cold)
	for _, s := range w.spells {
		if at >= s.from && at < s.to {
			m.factor *= s.factor
			m.errors += s.errors
		}
	}
	for _, h := range w.herds {
		if at == h.at {
			m.cut += h.hit(old)
		}
	}
	return m
}

// standing returns the part of a version's upstreams that live, and the part
// of those that started within the last seconds.
func (w *World) standing(at int, old bool, within int) (alive, cold float64) {
	alive = 1
	if !old && at < w.begun+within {
		cold = 1
	}
	for _, h := range w.herds {
		switch {
		case at >= h.at && at < h.back:
			alive -= h.hit(old)
		case at >= h.back && at < h.back+within:
			cold += h.hit(old)
		}
	}
	return max(alive, 0), min(cold, 1)
}

func (h herd) hit(old bool) float64 {
	if old {
		return h.old
	}
	return h.new
}
