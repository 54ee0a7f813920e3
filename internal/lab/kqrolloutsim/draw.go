package kqrolloutsim

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
)

type (
	// deployment is a number of servers and of slots on each.
	deployment struct {
		servers, slots int
	}

	route struct {
		// weight is the route's share of the service's calls.
		weight float64
		// serviceTime is the median in seconds, spread is the standard
		// deviation of its logarithm.
		serviceTime, spread float64
		errorRate           float64
	}

	// herdRestart is a simultaneous crash of upstreams: from second at until second
	// recoveredAt, the shares old and new of the versions' upstreams are down.
	herdRestart struct {
		at, recoveredAt int
		old, new        float64
	}

	// incident is a period in which both versions are slower and fail more calls. from
	// and to are in seconds since the start of the rollout; to is not included.
	incident struct {
		from, to                 int
		latencyFactor, errorRate float64
	}
)

// deployments are the servers and slots per server of the two users' current
// deployments, as their requirements state them.
var deployments = []deployment{{6, 6}, {4, 6}, {6, 12}, {4, 12}}

// draw sets the world's properties from random numbers; times are drawn in seconds.
func (w *World) draw(r *rand.Rand) {
	d := deployments[r.IntN(len(deployments))]
	w.SlotsPerServer = d.slots
	w.Servers = d.servers * []int{1, 1, 1, 2, 4}[r.IntN(5)]
	w.window = int(math.Exp(uniform(r, math.Log(120), math.Log(3600))))
	w.Window = time.Duration(w.window) * time.Second
	w.load = uniform(r, 0.2, 0.6)
	serviceTime := math.Exp(uniform(r, math.Log(0.008), math.Log(0.06)))
	errorRate := math.Exp(uniform(r, math.Log(0.0002), math.Log(0.005)))
	sum, mean := 0.0, 0.0
	for range 2 + r.IntN(4) {
		drawn := route{weight: uniform(r, 0.1, 1), serviceTime: serviceTime * uniform(r, 0.5, 2), spread: uniform(r, 0.4, 0.8), errorRate: errorRate * uniform(r, 0.5, 1.5)}
		w.routes = append(w.routes, drawn)
		sum += drawn.weight
	}
	for i := range w.routes {
		w.routes[i].weight /= sum
		mean += w.routes[i].weight * w.routes[i].mean()
	}
	w.rate = float64(w.Servers*w.SlotsPerServer) * w.load / mean
	if w.Kind == LowTraffic {
		w.rate = uniform(r, 2, 20)
		w.load = w.rate * mean / float64(w.Servers*w.SlotsPerServer)
	}
	w.serviceTimeRatio = 1
	if w.Kind.Good() {
		// The service times of bad versions differ from the old one's only by noise and
		// the effect of their kind.
		w.serviceTimeRatio = uniform(r, 0.9, 1.05)
	}
	// drawNoise replaces these two for Cold versions. The new version's upstreams start
	// up to two minutes before the rollout.
	w.coldSeconds = int(uniform(r, 2, 10))
	w.newVersionStart = -int(uniform(r, 0, 120))
	w.excluded = int(kqplan.Plan{Deadline: time.Time{}.Add(w.Window)}.ColdStart() / time.Second)
	w.drawNoise(r)
	w.drawEffect(r)
}

// drawNoise draws the disturbances that are not the new version's fault.
func (w *World) drawNoise(r *rand.Rand) {
	w.sharedNoise, w.newVersionNoise = 0.1, 0.01
	// These are the probabilities per second that an incident or a herd restart begins.
	incidents, herdRestarts := 0.0015, 0.0002
	switch w.Kind {
	case Noisy:
		w.sharedNoise, w.newVersionNoise, incidents = 0.3, 0.03, 0.005
	case Cold:
		w.coldSeconds, w.newVersionStart = int(uniform(r, 10, 40)), int(uniform(r, -10, 10))
	case HerdRestarts:
		herdRestarts = 3 / float64(w.window)
	case SlowDependency:
		incidents = max(0.003, 2/float64(w.window))
	}
	for t := range w.window {
		if r.Float64() < incidents {
			w.incidents = append(w.incidents, incident{t, t + 3 + r.IntN(40), uniform(r, 1.2, 5), math.Exp(uniform(r, math.Log(0.001), math.Log(0.1)))})
		}
		if r.Float64() < herdRestarts {
			w.herdRestarts = append(w.herdRestarts, herdRestart{t, t + 5 + r.IntN(30), uniform(r, 0, 0.6), uniform(r, 0, 0.6)})
		}
	}
}

// drawEffect draws the regression of a bad version and the alternative of a good one.
func (w *World) drawEffect(r *rand.Rand) {
	w.effect, w.effectStart, w.effectRoute = noEffect, 0, -1
	w.alternative = smallestEffects[r.IntN(len(smallestEffects))]
	e, ok := fixedEffects[w.Kind]
	if ok {
		w.effect = e
		return
	}
	if w.Kind.Good() {
		return
	}
	w.effect = effect{latencyFactor: 1, errorRate: uniform(r, 0.2, 1)}
	if w.Kind != FailsAtOnce && r.IntN(2) == 0 {
		w.effect = effect{latencyFactor: uniform(r, 2, 10)}
	}
	switch w.Kind {
	case FailsLater:
		w.effectStart = int(uniform(r, min(60, 0.5*float64(w.window)), 0.95*float64(w.window)))
	case UnderLoad:
		w.effectMinUtilization = uniform(r, 0.5, 0.9) * w.load
	case OneRoute:
		w.effectRoute = r.IntN(len(w.routes))
	}
}

// mean returns the mean service time in seconds.
func (o route) mean() float64 { return o.serviceTime * math.Exp(o.spread*o.spread/2) }

// uniform returns a random number between low and high.
func uniform(r *rand.Rand, low, high float64) float64 { return low + (high-low)*r.Float64() }
