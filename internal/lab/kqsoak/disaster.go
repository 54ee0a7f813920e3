package kqsoak

import (
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqproxy"
)

const (
	// RoleGate is where other nodes send calls.
	RoleGate Role = "gate"
	// RoleControl is where other nodes exchange configuration and membership.
	RoleControl Role = "control"
	// Rollout orders a rollout to a bad version, whose one upstream is beside the
	// target, and ends it after For.
	Rollout Kind = "rollout"

	longestFault = 4 * time.Second
	// rolloutFor leaves a bad version the time to show its badness and to be used on.
	rolloutFor = 20 * time.Second
	// linedPart of the nodes have a line that can be harmed before their gate. These
	// are not stopped: a proxy takes connections for a process that has gone, which
	// the system would refuse.
	linedPart = 4
)

var modes = []kqproxy.Mode{kqproxy.Delay, kqproxy.Silence, kqproxy.OneWay, kqproxy.Reset, kqproxy.Down}

// Lined reports whether a node's gate is behind a line that can be harmed.
func (o Options) Lined(node int) bool { return node >= o.Nodes-o.lined() }

func (o Options) lined() int {
	if o.Planned {
		return 0
	}
	return max(1, o.Nodes/linedPart)
}

// disaster draws an unplanned fault.
func (d *drawer) disaster(at time.Duration) {
	length := d.between(100*time.Millisecond, longestFault)
	switch n := d.random.IntN(100); {
	case n < 20:
		d.strike(at, Fault{Kind: KillNode, For: length / 2}, d.busy)
	case n < 30:
		d.strike(at, Fault{Kind: KillUpstream, For: length / 2}, d.draining)
	case n < 45:
		d.strike(at, Fault{Kind: PauseNode, For: length}, d.busy)
	case n < 55:
		d.strike(at, Fault{Kind: PauseUpstream, For: length}, d.draining)
	case n < 62:
		d.add(Fault{At: at, Kind: PauseStore, For: length})
	case n < 75:
		d.add(Fault{At: at, Kind: StoreLine, For: length, Mode: d.mode()})
	case n < 85:
		d.add(Fault{At: at, Kind: Line, Target: d.node(), Role: RoleControl, For: length, Mode: d.mode()})
	default:
		lined := d.options.lined()
		d.add(Fault{At: at, Kind: Line, Target: d.options.Nodes - 1 - d.random.IntN(lined), Role: RoleGate, For: length, Mode: d.mode()})
	}
}

// strike aims a fault at a process that has none.
func (d *drawer) strike(at time.Duration, f Fault, busy []time.Duration) {
	target, ok := d.free(at, busy)
	if !ok {
		return
	}
	f.At, f.Target = at, target
	busy[target] = at + f.For + time.Second
	d.add(f)
}

func (d *drawer) mode() kqproxy.Mode { return modes[d.random.IntN(len(modes))] }

// rollout adds the bad version, drawn last: the other faults of a seed stay.
func (d *drawer) rollout() {
	if !d.options.Planned && d.options.For >= rolloutFor {
		d.add(Fault{At: d.between(firstFault, 3*time.Second), Kind: Rollout, Target: d.node(), For: rolloutFor})
	}
}
