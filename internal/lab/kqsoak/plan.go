package kqsoak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqproxy"
)

const (
	// Leave stops a node with SIGTERM and restarts it For after it has exited.
	Leave Kind = "leave"
	// Reload sends SIGHUP to a node, after changing its settings if Changed is set.
	Reload Kind = "reload"
	// Settings changes a node's settings file without a signal.
	Settings Kind = "settings"
	// Versions commits versions of the document one after another for a duration of
	// For.
	Versions Kind = "versions"
	// Drain stops a node's upstream with SIGTERM and starts another one For after it
	// has exited.
	Drain Kind = "drain"
	// KillNode kills a node with SIGKILL and restarts it after For.
	KillNode Kind = "kill_node"
	// KillUpstream kills an upstream with SIGKILL and restarts it after For.
	KillUpstream Kind = "kill_upstream"
	// PauseNode suspends a node with SIGSTOP and resumes it after For.
	PauseNode Kind = "pause_node"
	// PauseUpstream suspends an upstream with SIGSTOP and resumes it after For.
	PauseUpstream Kind = "pause_upstream"
	// PauseStore suspends the store with SIGSTOP and resumes it after For.
	PauseStore Kind = "pause_store"
	// NodeNetwork applies the proxy's Mode to the connections to a node's address, given
	// by Role, for a duration of For.
	NodeNetwork Kind = "line"
	// StoreNetwork applies the proxy's Mode to all connections to the store for a
	// duration of For.
	StoreNetwork Kind = "store_line"

	// firstFault is the earliest time of a fault. Until then, callers have time to use
	// every route once.
	firstFault = 500 * time.Millisecond
	// leaveTime estimates how long a node's leave and its restart take, without the
	// pause between them. Until then the node is not chosen for another leave, kill or
	// pause. The estimate only spreads the faults, which may overlap.
	leaveTime = 7 * time.Second
	// drainTime is the same estimate for an upstream's drain.
	drainTime = 6 * time.Second
	// leaveWindow is the time after the start of a Leave in which reloads are scheduled,
	// so that they hit the leave, which takes 2 to 4 s.
	leaveWindow = 4 * time.Second
	// MinSignalAge is the least age at which a node's process is sent SIGHUP or SIGTERM.
	// A younger one may not have installed its signal handlers; the signal's default
	// action would then end it through no fault of the program.
	MinSignalAge = 150 * time.Millisecond
	// startWindow is the time after MinSignalAge in which reloads are scheduled for a
	// starting node.
	startWindow = 900 * time.Millisecond
)

type (
	// Kind identifies a type of fault.
	Kind string

	// Role identifies one of a node's addresses by its use.
	Role string

	// Fault is one fault, which begins At after the start of the plan. Target is the
	// number of a node, or of the upstream of that node; kinds without a target ignore
	// it. The other fields are described at the kinds that use them.
	Fault struct {
		At      time.Duration `json:"at"`
		Kind    Kind          `json:"kind"`
		Target  int           `json:"target"`
		For     time.Duration `json:"for,omitempty"`
		Changed bool          `json:"changed,omitempty"`
		Mode    kqproxy.Mode  `json:"mode,omitempty"`
		Role    Role          `json:"role,omitempty"`
		// Limit is in calls a second.
		Limit float64 `json:"limit,omitempty"`
		// AfterStart lists the ages at which the process that a Leave restarts is sent
		// SIGHUP.
		AfterStart []time.Duration `json:"after_start,omitempty"`
	}

	// Options are the parameters of a plan.
	Options struct {
		Seed  uint64
		Nodes int
		// For is the time for which faults are generated. A leave may begin up to 2 s
		// later, and the reloads during it up to 4 s after that.
		For time.Duration
		// PlannedOnly restricts the plan to planned work, without unplanned faults.
		PlannedOnly bool
	}

	// Plan is a list of faults ordered by their start time.
	Plan []Fault

	generator struct {
		options Options
		random  *rand.Rand
		// nodeBusyUntil and upstreamBusyUntil hold, for each node and each upstream, when
		// the latest fault that stops or suspends it is expected to end.
		nodeBusyUntil, upstreamBusyUntil []time.Duration
		plan                             Plan
	}
)

// Generate returns the plan for the options; equal options give equal plans.
func Generate(o Options) Plan {
	g := &generator{
		options: o, random: rand.New(rand.NewPCG(o.Seed, uint64(o.Nodes))),
		nodeBusyUntil: make([]time.Duration, o.Nodes), upstreamBusyUntil: make([]time.Duration, o.Nodes),
	}
	for at := firstFault; at < o.For; at += g.randomDuration(100*time.Millisecond, time.Second) {
		g.addNext(at)
	}
	g.addRollout()
	g.addConditions()
	g.addDeadly()
	slices.SortStableFunc(g.plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return g.plan
}

// addNext adds a random fault, or two leaves, for a given time. It adds nothing if too
// few processes are idle.
func (g *generator) addNext(at time.Duration) {
	if !g.options.PlannedOnly && g.random.IntN(2) == 0 {
		g.addUnplanned(at)
		return
	}
	switch n := g.random.IntN(100); {
	case n < 25:
		g.addLeaves(at, 1, 0)
	case n < 35:
		g.addLeaves(at, 2, 0)
	case n < 45:
		g.addLeaves(at, 2, 2*time.Second)
	case n < 65:
		g.add(Fault{At: at, Kind: Reload, Target: g.randomNode(), Changed: g.random.IntN(2) == 0})
	case n < 75:
		g.add(Fault{At: at, Kind: Settings, Target: g.randomNode(), Changed: true})
	case n < 85:
		g.add(Fault{At: at, Kind: Versions, For: g.randomDuration(500*time.Millisecond, 4*time.Second)})
	default:
		g.addDrain(at)
	}
}

// addLeaves adds up to count leaves that begin within a time span, with reloads during
// each leave and after the restart.
func (g *generator) addLeaves(at time.Duration, count int, within time.Duration) {
	for range count {
		target, ok := g.pickIdle(at, g.nodeBusyUntil)
		if !ok {
			return
		}
		f := Fault{At: at + g.randomDuration(0, within), Kind: Leave, Target: target, For: g.randomDuration(0, 1500*time.Millisecond)}
		for range g.random.IntN(3) {
			f.AfterStart = append(f.AfterStart, MinSignalAge+g.randomDuration(0, startWindow))
		}
		g.nodeBusyUntil[target] = f.At + f.For + leaveTime
		g.add(f)
		for range g.random.IntN(4) {
			g.add(Fault{At: f.At + g.randomDuration(0, leaveWindow), Kind: Reload, Target: target, Changed: g.random.IntN(2) == 0})
		}
	}
}

func (g *generator) addDrain(at time.Duration) {
	if target, ok := g.pickIdle(at, g.upstreamBusyUntil); ok {
		f := Fault{At: at, Kind: Drain, Target: target, For: g.randomDuration(0, time.Second)}
		g.upstreamBusyUntil[target] = f.At + f.For + drainTime
		g.add(f)
	}
}

// pickIdle picks a random target that is not busy, never one with a gate proxy. It picks
// none unless more than half of all targets, rounded down, are idle, so that calls can
// still be served. Targets with a gate proxy count as idle, since they are never stopped.
func (g *generator) pickIdle(at time.Duration, busyUntil []time.Duration) (int, bool) {
	var idle []int
	for i, until := range busyUntil {
		if until <= at && !g.options.HasGateProxy(i) {
			idle = append(idle, i)
		}
	}
	if len(idle) <= len(busyUntil)/2-g.options.gateProxies() {
		return 0, false
	}
	return idle[g.random.IntN(len(idle))], true
}

func (g *generator) randomNode() int { return g.random.IntN(g.options.Nodes) }

// randomDuration returns a random duration from least to most, a whole number of
// milliseconds above least.
func (g *generator) randomDuration(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(g.random.Int64N(int64(most-least))).Round(time.Millisecond)
}

func (g *generator) add(f Fault) { g.plan = append(g.plan, f) }
