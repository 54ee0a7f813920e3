package kqnodes

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// FaultNone measures the fleet as it is.
	FaultNone Fault = "none"
	// FaultTenthAndDomain kills a tenth of the nodes and a whole failure domain
	// at the moment of a change.
	FaultTenthAndDomain Fault = "tenth_and_domain"
	// FaultPlatformDown takes the platform away and replaces a tenth of the
	// nodes meanwhile.
	FaultPlatformDown Fault = "platform_down"
	// FaultHerdRestart kills all nodes and starts them again within a second.
	FaultHerdRestart Fault = "herd_restart"

	// leastIdle is the shortest watch of an idle fleet: three heartbeats of a second.
	// A watch that is shorter than one counts the bytes of a whole heartbeat, or of
	// the start, as if they came all the time, and the changes seem to cost less than
	// nothing.
	leastIdle  = 3 * time.Second
	startWait  = 60 * time.Second
	changeWait = 30 * time.Second
	// maxReads and maxWrites are the platform's rates, in calls per second.
	maxReads  = 2000
	maxWrites = 300
)

type (
	// Fault is what goes wrong during a measurement.
	Fault string

	// Plan says what to measure.
	Plan struct {
		Counts   []int
		Strategy string
		Fault    Fault
		Changes  int
		// Prefetch lets starting nodes take over the hosts of their peers.
		Prefetch bool
		// Idle is how long the settled fleet is watched without changes.
		Idle time.Duration
		// Gap is the pause between two changes.
		Gap time.Duration
	}

	// Measurement runs fleets of growing size. It is used once.
	Measurement struct {
		plan Plan
	}

	// bench is one run under way.
	bench struct {
		plan    Plan
		fleet   *fleet
		commits *kqcommit.Committer
		version kqname.ConfigVersion
		held    map[string]kqname.ConfigVersion
		run     Run
	}

	// usage is what the fleet has used up to a moment.
	usage struct {
		at           time.Time
		cpu          time.Duration
		bytes, calls uint64
	}
)

// New returns a measurement of a plan.
func New(p Plan) *Measurement { return &Measurement{plan: p} }

// Run measures each count in turn; told hears of each run as it ends.
func (m *Measurement) Run(ctx context.Context, told func(Run)) (Result, error) {
	r := Result{Strategy: m.plan.Strategy, Fault: string(m.plan.Fault)}
	for _, count := range m.plan.Counts {
		run, err := m.once(ctx, count)
		if err != nil {
			return r, fmt.Errorf("measure %d nodes: %w", count, err)
		}
		r.Runs = append(r.Runs, run)
		told(run)
	}
	r.Slopes = slopes(r.Runs)
	return r, nil
}

func (m *Measurement) once(ctx context.Context, count int) (Run, error) {
	before := memory()
	f := newFleet(m.plan.Strategy, m.plan.Prefetch, count)
	defer f.close()
	b := &bench{
		plan: m.plan, fleet: f, commits: kqcommit.New(f.platform),
		held: make(map[string]kqname.ConfigVersion), run: Run{Nodes: count},
	}
	if _, err := b.commit(ctx); err != nil {
		return b.run, err
	}
	if err := b.settle(ctx, count); err != nil {
		return b.run, err
	}
	idle := b.idle()
	b.run.MemoryBytes = (memory() - before) / float64(count)
	err := b.fault(ctx)
	if err == nil {
		err = b.change(ctx, idle)
	}
	c := f.platform.Counts()
	b.run.PlatformPeakReads, b.run.PlatformPeakWrites, b.run.PlatformRefused = c.PeakReads, c.PeakWrites, c.Refused
	return b.run, err
}

// settle starts the fleet, a few nodes first, and gives it traffic.
func (b *bench) settle(ctx context.Context, count int) error {
	began := time.Now()
	first, rest := split(count, seeds)
	if err := b.fleet.start(first, nil); err != nil {
		return err
	}
	if err := b.fleet.start(rest, b.fleet.seeds()); err != nil {
		return err
	}
	if _, err := b.fleet.await(ctx, b.version, began, startWait); err != nil {
		return err
	}
	_, err := b.fleet.want(ctx, b.fleet.members())
	return err
}

// idle watches the fleet without changes and returns its bytes per second.
func (b *bench) idle() float64 {
	watch := max(b.plan.Idle, leastIdle)
	time.Sleep(watch / 2)
	before := b.usage()
	time.Sleep(watch)
	after := b.usage()
	seconds := after.at.Sub(before.at).Seconds()
	nodes := float64(b.run.Nodes)
	b.run.Bytes.Idle = float64(after.bytes-before.bytes) / seconds / nodes
	b.run.CPUShare = (after.cpu - before.cpu).Seconds() / seconds / nodes
	b.run.PlatformCalls = float64(after.calls-before.calls) / seconds
	return b.run.Bytes.Idle
}

// change commits versions one after the other and waits for each everywhere.
func (b *bench) change(ctx context.Context, idle float64) error {
	if b.plan.Fault == FaultPlatformDown {
		return nil
	}
	before := b.usage()
	var times []time.Duration
	for i := range b.plan.Changes {
		at, err := b.commit(ctx)
		if err != nil {
			return err
		}
		if i == b.plan.Changes/2 && b.plan.Fault == FaultTenthAndDomain {
			b.fleet.kill(func(n int) bool { return n%10 == 7 || n%domains == domains-1 })
		}
		took, err := b.fleet.await(ctx, b.version, at, changeWait)
		if err != nil {
			return err
		}
		times = append(times, took)
		b.run.VersionsFallen += b.fallen()
		time.Sleep(b.plan.Gap)
	}
	after := b.usage()
	seconds := after.at.Sub(before.at).Seconds()
	nodes, changes := float64(b.run.Nodes), float64(max(b.plan.Changes, 1))
	b.run.Changes = b.plan.Changes
	b.run.Convergence = convergence(times)
	b.run.Bytes.Changing = float64(after.bytes-before.bytes) / seconds / nodes
	b.run.CPUShareChanging = (after.cpu - before.cpu).Seconds() / seconds / nodes
	b.run.BytesPerChange = (b.run.Bytes.Changing - idle) * seconds / changes
	b.run.PlatformCallsChange = (float64(after.calls-before.calls) - b.run.PlatformCalls*seconds) / changes
	return nil
}

// commit puts the next version in force and returns when that was.
func (b *bench) commit(ctx context.Context) (time.Time, error) {
	at := time.Now()
	o, err := b.commits.Commit(ctx, kqcommit.Request{
		ID: fmt.Sprintf("change-%d", b.version+1), Base: b.version, Author: "lab", Reason: "measure", At: at,
		Document: Document(int(b.version)),
	})
	if err != nil {
		return at, err
	}
	if o.Status != kqcommit.Committed {
		return at, fmt.Errorf("change %s ended as %s", o.RequestID, o.Status)
	}
	b.version = o.Version
	return at, nil
}

// fallen counts the nodes whose version is below one that they held.
func (b *bench) fallen() int {
	fallen := 0
	for _, m := range b.fleet.members() {
		key, v := string(m.ControlAddress()), m.Version()
		if v < b.held[key] {
			fallen++
		}
		b.held[key] = v
	}
	return fallen
}

func (b *bench) usage() usage {
	var r syscall.Rusage
	// The only error is a bad argument, which RUSAGE_SELF is not.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return usage{
		at: time.Now(), cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		bytes: b.fleet.controlBytes(), calls: b.fleet.store.calls.Load(),
	}
}

// memory returns the bytes of live heap and stacks.
func memory() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc + s.StackInuse)
}

func split(count, at int) (first, rest []int) {
	for i := range count {
		if i < at {
			first = append(first, i)
		} else {
			rest = append(rest, i)
		}
	}
	return first, rest
}
