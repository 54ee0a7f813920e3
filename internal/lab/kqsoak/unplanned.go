package kqsoak

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqproxy"
)

const (
	// RoleGate is the address to which other nodes send calls.
	RoleGate Role = "gate"
	// RoleControl is the address at which other nodes exchange configuration and
	// membership.
	RoleControl Role = "control"
	// Rollout starts a rollout to a bad version, whose only upstream is started next to
	// the target node, and stops that upstream at the rollout's deadline, For after its
	// start.
	Rollout Kind = "rollout"

	// maxFaultTime is the longest duration of an unplanned fault other than Rollout.
	// Kills take half as long, at most.
	maxFaultTime = 4 * time.Second
	// rolloutFor is how long the rollout to a bad version lasts, which is long enough to
	// detect the version and to observe whether it stays in use. A shorter plan has no
	// rollout.
	rolloutFor = 20 * time.Second
	// nodesPerGateProxy is the number of nodes for each one that has a proxy in front of
	// its gate; at least one has. Nodes with such a proxy are never stopped: the proxy
	// would accept connections for a process that has exited, which the operating system
	// would refuse.
	nodesPerGateProxy = 4
)

var faultModes = []kqproxy.Mode{kqproxy.Delay, kqproxy.Silence, kqproxy.OneWay, kqproxy.Reset, kqproxy.Down}

// HasGateProxy reports whether a node's gate is behind a fault-injecting proxy.
func (o Options) HasGateProxy(node int) bool { return node >= o.Nodes-o.gateProxies() }

// gateProxies returns how many nodes have a proxy in front of their gate.
func (o Options) gateProxies() int {
	if o.PlannedOnly {
		return 0
	}
	return max(1, o.Nodes/nodesPerGateProxy)
}

// addUnplanned adds a random unplanned fault, unless it needs an idle process and too
// few are idle.
func (g *generator) addUnplanned(at time.Duration) {
	duration := g.randomDuration(100*time.Millisecond, maxFaultTime)
	switch n := g.random.IntN(100); {
	case n < 20:
		g.addToIdle(at, Fault{Kind: KillNode, For: duration / 2}, g.nodeBusyUntil)
	case n < 30:
		g.addToIdle(at, Fault{Kind: KillUpstream, For: duration / 2}, g.upstreamBusyUntil)
	case n < 45:
		g.addToIdle(at, Fault{Kind: PauseNode, For: duration}, g.nodeBusyUntil)
	case n < 55:
		g.addToIdle(at, Fault{Kind: PauseUpstream, For: duration}, g.upstreamBusyUntil)
	case n < 62:
		g.add(Fault{At: at, Kind: PauseStore, For: duration})
	case n < 75:
		g.add(Fault{At: at, Kind: StoreNetwork, For: duration, Mode: g.randomMode()})
	case n < 85:
		g.add(Fault{At: at, Kind: NodeNetwork, Target: g.randomNode(), Role: RoleControl, For: duration, Mode: g.randomMode()})
	default:
		gateProxies := g.options.gateProxies()
		g.add(Fault{At: at, Kind: NodeNetwork, Target: g.options.Nodes - 1 - g.random.IntN(gateProxies), Role: RoleGate, For: duration, Mode: g.randomMode()})
	}
}

// addToIdle adds a fault for a random idle process, unless too few are idle.
func (g *generator) addToIdle(at time.Duration, f Fault, busyUntil []time.Duration) {
	target, ok := g.pickIdle(at, busyUntil)
	if !ok {
		return
	}
	f.At, f.Target = at, target
	busyUntil[target] = at + f.For + time.Second
	g.add(f)
}

func (g *generator) randomMode() kqproxy.Mode { return faultModes[g.random.IntN(len(faultModes))] }

// addRollout adds the rollout to a bad version, unless the plan is shorter than rolloutFor
// or has planned work only. It is generated last, so that the other faults of a seed stay
// the same.
func (g *generator) addRollout() {
	if !g.options.PlannedOnly && g.options.For >= rolloutFor {
		g.add(Fault{At: g.randomDuration(firstFault, 3*time.Second), Kind: Rollout, Target: g.randomNode(), For: rolloutFor})
	}
}
