package kqworld

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
)

type (
	deployment struct {
		servers, slots int
	}

	route struct {
		weight float64
		// work is the median service time in seconds, spread the standard
		// deviation of its logarithm.
		work, spread float64
		errors       float64
	}

	// herd is a time at which upstreams die together.
	herd struct {
		at, back int
		old, new float64
	}

	// spell is a time in which both versions are slower and fail more.
	spell struct {
		from, to       int
		factor, errors float64
	}
)

// deployments are the two users' of today, from the brief.
var deployments = []deployment{{6, 6}, {4, 6}, {6, 12}, {4, 12}}

func (w *World) draw(r *rand.Rand) {
	d := deployments[r.IntN(len(deployments))]
	w.SlotsEach = d.slots
	w.Servers = d.servers * []int{1, 1, 1, 2, 4}[r.IntN(5)]
	w.window = int(math.Exp(between(r, math.Log(120), math.Log(3600))))
	w.Window = time.Duration(w.window) * time.Second
	w.load = between(r, 0.2, 0.6)
	work := math.Exp(between(r, math.Log(0.008), math.Log(0.06)))
	errors := math.Exp(between(r, math.Log(0.0002), math.Log(0.005)))
	sum, mean := 0.0, 0.0
	for range 2 + r.IntN(4) {
		one := route{weight: between(r, 0.1, 1), work: work * between(r, 0.5, 2), spread: between(r, 0.4, 0.8), errors: errors * between(r, 0.5, 1.5)}
		w.routes = append(w.routes, one)
		sum += one.weight
	}
	for i := range w.routes {
		w.routes[i].weight /= sum
		mean += w.routes[i].weight * w.routes[i].mean()
	}
	w.rate = float64(w.Servers*w.SlotsEach) * w.load / mean
	if w.Kind == LowTraffic {
		w.rate = between(r, 2, 20)
		w.load = w.rate * mean / float64(w.Servers*w.SlotsEach)
	}
	w.differs = 1
	if w.Kind.Good() {
		// Bad versions are as slow as their kind says, no more and no less.
		w.differs = between(r, 0.9, 1.05)
	}
	w.coldFor = int(between(r, 2, 10))
	// The new version's upstreams start up to two minutes before the move.
	w.begun = -int(between(r, 0, 120))
	w.excluded = int(kqplan.Plan{Deadline: time.Time{}.Add(w.Window)}.Cold() / time.Second)
	w.drawNoise(r)
	w.drawEffect(r)
}

func (w *World) drawNoise(r *rand.Rand) {
	w.wobble, w.ownWobble = 0.1, 0.01
	spells, herds := 0.0015, 0.0002
	switch w.Kind {
	case Noisy:
		w.wobble, w.ownWobble, spells = 0.3, 0.03, 0.005
	case Cold:
		w.coldFor, w.begun = int(between(r, 10, 40)), int(between(r, -10, 10))
	case HerdRestarts:
		herds = 3 / float64(w.window)
	case SlowDependency:
		spells = max(0.003, 2/float64(w.window))
	}
	for t := range w.window {
		if r.Float64() < spells {
			w.spells = append(w.spells, spell{t, t + 3 + r.IntN(40), between(r, 1.2, 5), math.Exp(between(r, math.Log(0.001), math.Log(0.1)))})
		}
		if r.Float64() < herds {
			w.herds = append(w.herds, herd{t, t + 5 + r.IntN(30), between(r, 0, 0.6), between(r, 0, 0.6)})
		}
	}
}

func (w *World) drawEffect(r *rand.Rand) {
	w.effect, w.from, w.onRoute = none, 0, -1
	w.rival = smallest[r.IntN(len(smallest))]
	e, ok := fixed[w.Kind]
	if ok {
		w.effect = e
		return
	}
	if w.Kind.Good() {
		return
	}
	w.effect = effect{factor: 1, errors: between(r, 0.2, 1)}
	if w.Kind != FailsAtOnce && r.IntN(2) == 0 {
		w.effect = effect{factor: between(r, 2, 10)}
	}
	switch w.Kind {
	case FailsLater:
		w.from = int(between(r, min(60, 0.5*float64(w.window)), 0.95*float64(w.window)))
	case UnderLoad:
		w.above = between(r, 0.5, 0.9) * w.load
	case OneRoute:
		w.onRoute = r.IntN(len(w.routes))
	}
}

// mean returns the mean service time in seconds.
func (o route) mean() float64 { return o.work * math.Exp(o.spread*o.spread/2) }

func between(r *rand.Rand, low, high float64) float64 { return low + (high-low)*r.Float64() }
