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
	// the target node, and stops that upstream after For.
	Rollout Kind = "rollout"

	maxFaultTime = 4 * time.Second
	// rolloutFor is long enough for a bad version to be detected and for its further
	// use to show.
	rolloutFor = 20 * time.Second
	// gateProxyPart sets how many nodes, one in that many, have a proxy in front of
	// their gate. These nodes are never stopped: the proxy would accept connections for
	// a process that has exited, which the operating system would refuse.
	gateProxyPart = 4
)

var faultModes = []kqproxy.Mode{kqproxy.Delay, kqproxy.Silence, kqproxy.OneWay, kqproxy.Reset, kqproxy.Down}

// HasGateProxy reports whether a node's gate is behind a fault-injecting proxy.
func (o Options) HasGateProxy(node int) bool { return node >= o.Nodes-o.gateProxies() }

func (o Options) gateProxies() int {
	if o.PlannedOnly {
		return 0
	}
	return max(1, o.Nodes/gateProxyPart)
}

// addUnplanned adds a random unplanned fault.
func (g *generator) addUnplanned(at time.Duration) {
	duration := g.between(100*time.Millisecond, maxFaultTime)
	switch n := g.random.IntN(100); {
	case n < 20:
		g.addTo(at, Fault{Kind: KillNode, For: duration / 2}, g.busy)
	case n < 30:
		g.addTo(at, Fault{Kind: KillUpstream, For: duration / 2}, g.draining)
	case n < 45:
		g.addTo(at, Fault{Kind: PauseNode, For: duration}, g.busy)
	case n < 55:
		g.addTo(at, Fault{Kind: PauseUpstream, For: duration}, g.draining)
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

// addTo adds a fault for a random process that has none.
func (g *generator) addTo(at time.Duration, f Fault, busy []time.Duration) {
	target, ok := g.pickIdle(at, busy)
	if !ok {
		return
	}
	f.At, f.Target = at, target
	busy[target] = at + f.For + time.Second
	g.add(f)
}

func (g *generator) randomMode() kqproxy.Mode { return faultModes[g.random.IntN(len(faultModes))] }

// addRollout adds the rollout to a bad version. It is generated last, so that the other
// faults of a seed stay the same.
func (g *generator) addRollout() {
	if !g.options.PlannedOnly && g.options.For >= rolloutFor {
		g.add(Fault{At: g.between(firstFault, 3*time.Second), Kind: Rollout, Target: g.randomNode(), For: rolloutFor})
	}
}
