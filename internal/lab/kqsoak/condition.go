package kqsoak

import (
	"math/rand/v2"
	"time"
)

const (
	// Limit makes an upstream name a limit of Limit calls a second for a duration of For.
	Limit Kind = "limit"
	// QuietLeave makes an upstream say in its answers alone that it leaves, and replaces it
	// after For.
	QuietLeave Kind = "quiet_leave"
	// Evacuate evacuates the target's failure domain for a duration of For.
	Evacuate Kind = "evacuate"

	// minConditions is the least duration of a plan with limits, quiet leaves and an evacuation.
	minConditions = 8 * time.Second
	// conditionInterval is the mean time between two of them.
	conditionInterval = 5 * time.Second
	// quietLeaveFor is longer than calls may still reach an upstream that leaves, so that a
	// later one is observed.
	quietLeaveFor = 4 * time.Second
	// evacuationFor is longer than calls may still reach an evacuated failure domain.
	evacuationFor = 9 * time.Second
	// longestLimit is the longest time for which an upstream names a limit, and seriesLength
	// how often one names it on and off.
	longestLimit = 8 * time.Second
	seriesLength = 4
	seriesPeriod = 1500 * time.Millisecond
	// The last limit is that of all upstreams of a service, since calls are refused for a limit
	// only if each has one. It begins lastLimitAfter the time for faults, when most leaves and
	// replacements are done: a new process forgets the limit. What it keeps back after its end is
	// observed until the run ends, over 10 s later.
	lastLimitAfter = 6 * time.Second
	lastLimitFor   = 2 * time.Second
	lastLimit      = 2.0
)

// limits are the limits that upstreams name, in calls a second.
var limits = []float64{0, 0.5, 2, 5, 10}

// addConditions adds limits, quiet leaves and an evacuation. They are generated last and by numbers of their
// own, so that the other faults of a seed stay the same.
func (g *generator) addConditions() {
	if g.options.For < minConditions {
		return
	}
	g.random = rand.New(rand.NewPCG(g.options.Seed, uint64(g.options.Nodes)+1))
	// Only one, since a second one would end with the first.
	g.add(Fault{At: g.randomDuration(firstFault, g.options.For/2), Kind: Evacuate, Target: g.randomNode(), For: evacuationFor})
	for at := g.randomDuration(firstFault, conditionInterval); at < g.options.For; at += g.randomDuration(time.Second, 2*conditionInterval) {
		target, limit := g.randomNode(), limits[g.random.IntN(len(limits))]
		switch n := g.random.IntN(100); {
		case n < 40:
			g.add(Fault{At: at, Kind: Limit, Target: target, Limit: limit, For: g.randomDuration(time.Second, longestLimit)})
		case n < 55:
			g.addLimitOfService(at, target, limit, g.randomDuration(time.Second, longestLimit))
		case n < 70:
			for i := range seriesLength {
				g.add(Fault{At: at + time.Duration(i)*seriesPeriod, Kind: Limit, Target: target, Limit: limit, For: seriesPeriod / 2})
			}
		default:
			g.add(Fault{At: at, Kind: QuietLeave, Target: target, For: quietLeaveFor})
		}
	}
	g.addLimitOfService(g.options.For+lastLimitAfter, g.randomNode(), lastLimit, lastLimitFor)
}

// addLimitOfService adds the same limit at all upstreams of the target's service, whose nodes
// are every second one.
func (g *generator) addLimitOfService(at time.Duration, target int, limit float64, duration time.Duration) {
	for i := target % 2; i < g.options.Nodes; i += 2 {
		g.add(Fault{At: at, Kind: Limit, Target: i, Limit: limit, For: duration})
	}
}
