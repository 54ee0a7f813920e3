package kqsoak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqproxy"
)

const (
	// Leave stops a node by SIGTERM, and starts it again For after it has ended.
	Leave Kind = "leave"
	// Reload sends a node SIGHUP; Changed first gives it other settings.
	Reload Kind = "reload"
	// Settings changes a node's settings without a signal.
	Settings Kind = "settings"
	// Versions commits versions of the document one after another, over For.
	Versions Kind = "versions"
	// Drain stops a node's upstream by SIGTERM; another comes For after it has ended.
	Drain Kind = "drain"
	// KillNode ends a node by SIGKILL, and start it again after For.
	KillNode Kind = "kill_node"
	// KillUpstream is the same for an upstream.
	KillUpstream Kind = "kill_upstream"
	// PauseNode stops a node by SIGSTOP and lets it go on after For.
	PauseNode Kind = "pause_node"
	// PauseUpstream is the same for an upstream.
	PauseUpstream Kind = "pause_upstream"
	// PauseStore is the same for the store.
	PauseStore Kind = "pause_store"
	// Line harms the connections to a node by Mode for a time; Role tells which.
	Line Kind = "line"
	// StoreLine is the same for all connections to the store.
	StoreLine Kind = "store_line"

	// firstFault leaves callers the time to use every route once.
	firstFault = 500 * time.Millisecond
	// leaveTakes bounds what a node's leave, pause and start take: its target is not
	// drawn again meanwhile. It is a guess that only spreads the faults.
	leaveTakes = 7 * time.Second
	// drainTakes is the same for an upstream.
	drainTakes = 6 * time.Second
	// leaveLooks is the span after SIGTERM in which reloads are aimed at a leave,
	// which takes 2 to 4 s.
	leaveLooks = 4 * time.Second
	// Youngest is the least age of a starting process that is sent a signal: before,
	// its program may not have begun, and the signal's default is not its doing.
	Youngest = 150 * time.Millisecond
	// startLooks is the span in which reloads are aimed at a starting node.
	startLooks = 900 * time.Millisecond
)

type (
	// Kind names a fault.
	Kind string

	// Role names a node's address.
	Role string

	// Fault is one fault, At after the start of the plan. Target is the number of a
	// node, of an upstream, which has its node's number, or of nothing.
	Fault struct {
		At      time.Duration `json:"at"`
		Kind    Kind          `json:"kind"`
		Target  int           `json:"target"`
		For     time.Duration `json:"for,omitempty"`
		Changed bool          `json:"changed,omitempty"`
		Mode    kqproxy.Mode  `json:"mode,omitempty"`
		Role    Role          `json:"role,omitempty"`
		// AfterStart are the ages of the process that a Leave starts at which it is
		// sent SIGHUP.
		AfterStart []time.Duration `json:"after_start,omitempty"`
	}

	// Options tell what a plan is for.
	Options struct {
		Seed  uint64
		Nodes int
		// For is the span in which faults begin.
		For time.Duration
		// Planned leaves out all but planned work.
		Planned bool
	}

	// Plan is a list of faults in the order of their time.
	Plan []Fault

	drawer struct {
		options Options
		random  *rand.Rand
		// busy and draining are until when a node's and an upstream's fault lasts.
		busy, draining []time.Duration
		plan           Plan
	}
)

// Draw returns the plan of these options, the same one each time.
func Draw(o Options) Plan {
	d := &drawer{
		options: o, random: rand.New(rand.NewPCG(o.Seed, uint64(o.Nodes))),
		busy: make([]time.Duration, o.Nodes), draining: make([]time.Duration, o.Nodes),
	}
	for at := firstFault; at < o.For; at += d.between(100*time.Millisecond, time.Second) {
		d.scene(at)
	}
	d.rollout()
	slices.SortStableFunc(d.plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return d.plan
}

// scene draws what begins at a moment.
func (d *drawer) scene(at time.Duration) {
	if !d.options.Planned && d.random.IntN(2) == 0 {
		d.disaster(at)
		return
	}
	switch n := d.random.IntN(100); {
	case n < 25:
		d.leaves(at, 1, 0)
	case n < 35:
		d.leaves(at, 2, 0)
	case n < 45:
		d.leaves(at, 2, 2*time.Second)
	case n < 65:
		d.add(Fault{At: at, Kind: Reload, Target: d.node(), Changed: d.random.IntN(2) == 0})
	case n < 75:
		d.add(Fault{At: at, Kind: Settings, Target: d.node(), Changed: true})
	case n < 85:
		d.add(Fault{At: at, Kind: Versions, For: d.between(500*time.Millisecond, 4*time.Second)})
	default:
		d.drain(at)
	}
}

// leaves has some nodes leave within a span, and looks at their leaves with reloads.
func (d *drawer) leaves(at time.Duration, count int, within time.Duration) {
	for range count {
		target, ok := d.free(at, d.busy)
		if !ok {
			return
		}
		f := Fault{At: at + d.between(0, within), Kind: Leave, Target: target, For: d.between(0, 1500*time.Millisecond)}
		for range d.random.IntN(3) {
			f.AfterStart = append(f.AfterStart, Youngest+d.between(0, startLooks))
		}
		d.busy[target] = f.At + f.For + leaveTakes
		d.add(f)
		for range d.random.IntN(4) {
			d.add(Fault{At: f.At + d.between(0, leaveLooks), Kind: Reload, Target: target, Changed: d.random.IntN(2) == 0})
		}
	}
}

func (d *drawer) drain(at time.Duration) {
	if target, ok := d.free(at, d.draining); ok {
		f := Fault{At: at, Kind: Drain, Target: target, For: d.between(0, time.Second)}
		d.draining[target] = f.At + f.For + drainTakes
		d.add(f)
	}
}

// free draws a target whose fault is over. At most half of all have one at a time,
// so that calls have somewhere to go.
func (d *drawer) free(at time.Duration, busy []time.Duration) (int, bool) {
	var list []int
	for i, until := range busy {
		if until <= at && !d.options.Lined(i) {
			list = append(list, i)
		}
	}
	if len(list) <= len(busy)/2-d.options.lined() {
		return 0, false
	}
	return list[d.random.IntN(len(list))], true
}

func (d *drawer) node() int { return d.random.IntN(d.options.Nodes) }

func (d *drawer) between(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(d.random.Int64N(int64(most-least))).Round(time.Millisecond)
}

func (d *drawer) add(f Fault) { d.plan = append(d.plan, f) }
