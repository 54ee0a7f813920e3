package kqrolloutsim

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
	// coldStartFactor multiplies the latency of upstreams during their cold start.
	coldStartFactor = 3
	// noiseCorrelation is the correlation of the noise between successive seconds.
	noiseCorrelation = 0.97
)

type (
	// World is the simulated service during one rollout.
	World struct {
		Kind           Kind
		Servers        int
		SlotsPerServer int
		Window         time.Duration

		// window is Window in ticks.
		window int
		// rate is the mean number of calls per second, load the share of one
		// version's slots that they use.
		rate, load float64
		routes     []route
		// serviceTimeRatio is the new version's service time relative to the old one's,
		// without noise and effect.
		serviceTimeRatio float64
		// sharedNoise and newVersionNoise are standard deviations of the log of the
		// latency, of both versions and of the new version alone. sharedNoiseState and
		// newVersionNoiseState are the noise in the current tick.
		sharedNoise     float64
		newVersionNoise float64
		// Upstreams are slow for coldSeconds after a start, and the gates leave out their
		// latencies for excluded seconds. newVersionStart is the tick in which the new
		// version's upstreams start; it may be negative.
		coldSeconds     int
		excluded        int
		newVersionStart int
		incidents       []incident
		herdRestarts    []herdRestart
		// effect is a bad version's regression, from tick effectStart and utilization
		// effectMinUtilization on, on all routes or only on effectRoute if it is at
		// least 0. alternative is the regression that a good version's calls are
		// compared with.
		effect                                 effect
		alternative                            effect
		effectStart                            int
		effectMinUtilization                   float64
		effectRoute                            int
		random                                 *rand.Rand
		sharedNoiseState, newVersionNoiseState float64
		routeNames                             []kqname.Route
		allCandidates                          []kqmember.Candidate
		// distribution and referenceDistribution are scratch space of drawCalls: shares
		// of calls by latency bucket.
		distribution, referenceDistribution [kqevidence.Buckets]float64
	}

	// TickResult is what happened in one tick.
	TickResult struct {
		Sample kqevidence.Sample
		// Share is the new version's share of all calls.
		Share float64
		// Bad reports that the regression was active and the new version had
		// traffic, so that its calls could show it.
		Bad bool
		// LogLikelihoodRatio compares the probability of these calls with the true
		// regression, or for a good version with one of the smallest regressions,
		// to that without it, in nats.
		LogLikelihoodRatio float64
	}

	// versionState is the state of one version during one tick. rate is in calls per
	// second; utilization is the load relative to the slots of the upstreams that get it,
	// and may exceed 1. alive, cold and recentlyStarted are shares of its upstreams: those
	// that run, those that are slow after their start, and those that either are cold or
	// have latencies that the gates leave out. interrupted is the share that crashes in
	// this tick, which fails its calls in flight.
	versionState struct {
		rate, utilization        float64
		alive, cold              float64
		recentlyStarted          float64
		latencyFactor, errorRate float64
		interrupted              float64
	}
)

// New returns a random world of a kind; equal arguments give equal worlds.
func New(kind Kind, seed, index uint64) *World {
	w := &World{Kind: kind}
	w.draw(rand.New(rand.NewPCG(seed, index)))
	w.random = rand.New(rand.NewPCG(seed^0x9e3779b97f4a7c15, index))
	for i := range w.routes {
		w.routeNames = append(w.routeNames, kqname.Route(fmt.Sprintf("route-%d", i)))
	}
	for i := range w.Servers {
		w.allCandidates = append(w.allCandidates, w.candidate("old", i))
	}
	for i := range w.Servers {
		w.allCandidates = append(w.allCandidates, w.candidate("new", i))
	}
	return w
}

func (w *World) candidate(v kqname.UpstreamVersion, i int) kqmember.Candidate {
	return kqmember.Candidate{
		Upstream: kqmember.Upstream{Service: "service", Version: v, Slots: w.SlotsPerServer},
		Node:     kqname.Node(fmt.Sprintf("%s-%02d", v, i)),
	}
}

// Slots returns the slots of the live upstreams: the old version's, and the new
// version's by whether the upstream's latencies are counted (warm) or excluded
// because it started too recently (cold).
func (w *World) Slots(at int) (old, warm, cold int) {
	total := float64(w.Servers * w.SlotsPerServer)
	alive, _ := w.liveShare(at, true, w.coldSeconds)
	liveShare, recentlyStarted := w.liveShare(at, false, w.excluded)
	return int(total * alive), int(total * liveShare * (1 - recentlyStarted)), int(total * liveShare * recentlyStarted)
}

// Tick simulates one second, numbered from 0 at the start of the rollout, with newShare as
// the new version's configured share; small is passed on to kqshare.Share. Ticks must be
// simulated in order, since each advances the noise.
func (w *World) Tick(at int, newShare float64, small bool) TickResult {
	w.sharedNoiseState = noiseCorrelation*w.sharedNoiseState + w.sharedNoise*math.Sqrt(1-noiseCorrelation*noiseCorrelation)*w.random.NormFloat64()
	w.newVersionNoiseState = noiseCorrelation*w.newVersionNoiseState + w.newVersionNoise*math.Sqrt(1-noiseCorrelation*noiseCorrelation)*w.random.NormFloat64()
	old, next := w.versionStates(at, newShare, small)
	bad := w.isEffectActive(at, next)
	recentlyStarted := kqevidence.Pair{Route: kqevidence.ColdUpstreams}
	s := TickResult{Share: next.rate / (old.rate + next.rate), Bad: bad && next.rate > 0}
	for i := range w.routes {
		p := kqevidence.Pair{Route: w.routeNames[i]}
		w.drawCalls(&p.Old, &recentlyStarted.Old, i, old, noEffect)
		e := noEffect
		if bad && (w.effectRoute < 0 || w.effectRoute == i) {
			e = w.effect
		}
		s.LogLikelihoodRatio += w.drawCalls(&p.New, &recentlyStarted.New, i, next, e)
		s.Sample = append(s.Sample, p)
	}
	s.Sample = append(s.Sample, recentlyStarted)
	return s
}

// liveCandidates returns the live upstreams, the old version's first, where old and next
// are the live shares of the versions.
func (w *World) liveCandidates(old, next float64) []kqmember.Candidate {
	if old == 1 && next == 1 {
		return w.allCandidates
	}
	live := append([]kqmember.Candidate{}, w.allCandidates[:int(math.Ceil(old*float64(w.Servers)))]...)
	return append(live, w.allCandidates[w.Servers:w.Servers+int(math.Ceil(next*float64(w.Servers)))]...)
}

// isEffectActive reports whether the regression occurs at this time and load.
func (w *World) isEffectActive(at int, next versionState) bool {
	return !w.Kind.Good() && at >= w.effectStart && next.utilization >= w.effectMinUtilization
}

// versionStates splits the calls of one tick between the versions, as kqshare distributes
// them, and returns the versions' states.
func (w *World) versionStates(at int, newShare float64, small bool) (old, next versionState) {
	share := kqshare.Share{From: "old", To: "new", Fraction: newShare, FewUpstreams: small}
	old, next = w.conditions(at, true), w.conditions(at, false)
	b := share.Distribution(w.liveCandidates(old.alive, next.alive))
	serving := float64(w.Servers)
	if b.Nodes != nil {
		serving = float64(len(b.Nodes))
	}
	// The traffic varies by 20% with a period of half an hour.
	totalRate := w.rate * (1 + 0.2*math.Sin(2*math.Pi*float64(at)/1800))
	if next.alive > 0 && serving < float64(w.Servers) {
		// Distribution selects nodes among the live upstreams only.
		next.alive = 1
	}
	next.rate = totalRate * b.Within * b.Duty
	next.utilization = totalRate * b.Within * w.load / w.rate * float64(w.Servers) / serving / max(next.alive, 0.05)
	if latencyFactor := w.slowdown(at, next); latencyFactor*next.utilization > 1 {
		// Calls beyond the slots' capacity are refused by the gate and retried at
		// the old version.
		next.rate /= latencyFactor * next.utilization
	}
	old.rate = totalRate - next.rate
	old.utilization = old.rate / w.rate * w.load / max(old.alive, 0.05)
	next.latencyFactor *= w.serviceTimeRatio * math.Exp(w.newVersionNoiseState)
	return old, next
}

// slowdown returns the factor by which the regression lengthens all calls of the new
// version. It is 1 for a regression on one route.
func (w *World) slowdown(at int, next versionState) float64 {
	if w.isEffectActive(at, next) && w.effectRoute < 0 {
		return w.effect.latencyFactor
	}
	return 1
}

// conditions returns a version's state without its traffic: live and recently started
// upstreams, shared noise, incidents and crashes.
func (w *World) conditions(at int, old bool) versionState {
	m := versionState{latencyFactor: math.Exp(w.sharedNoiseState)}
	m.alive, m.cold = w.liveShare(at, old, w.coldSeconds)
	_, m.recentlyStarted = w.liveShare(at, old, w.excluded)
	m.recentlyStarted = max(m.recentlyStarted, m.cold)
	for _, s := range w.incidents {
		if at >= s.from && at < s.to {
			m.latencyFactor *= s.latencyFactor
			m.errorRate += s.errorRate
		}
	}
	for _, h := range w.herdRestarts {
		if at == h.at {
			m.interrupted += h.killedShare(old)
		}
	}
	return m
}

// liveShare returns the share of a version's upstreams that are alive, and the share that
// started less than the given number of seconds ago. Before newVersionStart, the new
// version's upstreams count as alive and as just started.
func (w *World) liveShare(at int, old bool, within int) (alive, recentlyStarted float64) {
	alive = 1
	if !old && at < w.newVersionStart+within {
		recentlyStarted = 1
	}
	for _, h := range w.herdRestarts {
		switch {
		case at >= h.at && at < h.recoveredAt:
			alive -= h.killedShare(old)
		case at >= h.recoveredAt && at < h.recoveredAt+within:
			recentlyStarted += h.killedShare(old)
		}
	}
	return max(alive, 0), min(recentlyStarted, 1)
}

// killedShare returns the share of a version's upstreams that crash.
func (h herdRestart) killedShare(old bool) float64 {
	if old {
		return h.old
	}
	return h.new
}
