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
	// FaultNone injects no fault.
	FaultNone Fault = "none"
	// FaultTenthAndDomain kills a tenth of the nodes and a whole failure domain right
	// after the commit of the middle change.
	FaultTenthAndDomain Fault = "tenth_and_domain"
	// FaultPlatformDown makes the platform unavailable and replaces a tenth of the
	// nodes during that time. No changes are committed.
	FaultPlatformDown Fault = "platform_down"
	// FaultHerdRestart kills all nodes, commits a version and starts them all again
	// under the platform's rate limits, before the changes.
	FaultHerdRestart Fault = "herd_restart"

	// minIdle is the shortest time for which an idle fleet is observed: three
	// heartbeats of one second. A time shorter than one heartbeat would count the bytes
	// of a whole heartbeat, or of the start, as a constant rate, and the cost of
	// changes would come out negative.
	minIdle       = 3 * time.Second
	startTimeout  = 60 * time.Second
	changeTimeout = 30 * time.Second
	// maxReads and maxWrites are the platform's rate limits, in calls per second.
	maxReads  = 2000
	maxWrites = 300
)

type (
	// Fault identifies the fault that a measurement injects.
	Fault string

	// Plan configures a measurement.
	Plan struct {
		// Counts are the numbers of nodes of the fleets.
		Counts []int
		// Strategy is a strategy of the settings, "overlay" or "direct".
		Strategy string
		Fault    Fault
		// Changes is how many versions are committed and timed for each fleet.
		// FaultPlatformDown ignores it.
		Changes int
		// Prefetch lets starting nodes fetch, in advance, the configuration of the hosts
		// that peers of their service hold.
		Prefetch bool
		// Idle is how long the settled fleet is observed without changes, at least
		// minIdle. FaultPlatformDown adds two waits of half of Idle each, without that
		// minimum.
		Idle time.Duration
		// Gap is the pause between two changes.
		Gap time.Duration
	}

	// Measurement measures one fleet of each planned size. It is used once.
	Measurement struct {
		plan Plan
	}

	// bench is the state of one run. lastVersions holds the version of each node, by
	// control address, at the last call of regressions.
	bench struct {
		plan         Plan
		fleet        *fleet
		commits      *kqcommit.Committer
		version      kqname.ConfigVersion
		lastVersions map[string]kqname.ConfigVersion
		run          Run
	}

	// usage is what was used up to a moment: processor time by the process, control
	// bytes and calls to the platform by the fleet.
	usage struct {
		at           time.Time
		cpu          time.Duration
		bytes, calls uint64
	}
)

// New returns a measurement with the given plan.
func New(p Plan) *Measurement { return &Measurement{plan: p} }

// Run measures a fleet of each size in turn and calls onRun with each run as it ends. On
// an error, the result has the runs that ended before.
func (m *Measurement) Run(ctx context.Context, onRun func(Run)) (Result, error) {
	r := Result{Strategy: m.plan.Strategy, Fault: string(m.plan.Fault)}
	for _, count := range m.plan.Counts {
		run, err := m.measure(ctx, count)
		if err != nil {
			return r, fmt.Errorf("measure %d nodes: %w", count, err)
		}
		r.Runs = append(r.Runs, run)
		onRun(run)
	}
	r.Slopes = slopes(r.Runs)
	return r, nil
}

func (m *Measurement) measure(ctx context.Context, count int) (Run, error) {
	before := memory()
	f := newFleet(m.plan.Strategy, m.plan.Prefetch, count)
	defer f.close()
	b := &bench{
		plan: m.plan, fleet: f, commits: kqcommit.New(f.platform),
		lastVersions: make(map[string]kqname.ConfigVersion), run: Run{Nodes: count},
	}
	if _, err := b.commit(ctx); err != nil {
		return b.run, err
	}
	if err := b.startFleet(ctx, count); err != nil {
		return b.run, err
	}
	idleByteRate := b.idleByteRate()
	b.run.MemoryBytes = (memory() - before) / float64(count)
	err := b.injectFault(ctx)
	if err == nil {
		err = b.measureChanges(ctx, idleByteRate)
	}
	c := f.platform.Counts()
	b.run.PlatformPeakReads, b.run.PlatformPeakWrites, b.run.PlatformRefused = c.PeakReads, c.PeakWrites, c.Refused
	return b.run, err
}

// startFleet starts the fleet, the first few nodes as seeds of the others, waits until
// all nodes have the current version and makes them fetch their first hosts.
func (b *bench) startFleet(ctx context.Context, count int) error {
	began := time.Now()
	first, rest := split(count, seeds)
	if err := b.fleet.start(first, nil); err != nil {
		return err
	}
	if err := b.fleet.start(rest, b.fleet.seeds()); err != nil {
		return err
	}
	if _, err := b.fleet.awaitVersion(ctx, b.version, began, startTimeout); err != nil {
		return err
	}
	_, err := b.fleet.ensureHosts(ctx, b.fleet.members())
	return err
}

// idleByteRate observes the fleet without changes, after it had time to settle, records
// its usage in the run and returns its control bytes per second and node.
func (b *bench) idleByteRate() float64 {
	window := max(b.plan.Idle, minIdle)
	time.Sleep(window / 2)
	before := b.usage()
	time.Sleep(window)
	after := b.usage()
	seconds := after.at.Sub(before.at).Seconds()
	nodes := float64(b.run.Nodes)
	b.run.Bytes.Idle = float64(after.bytes-before.bytes) / seconds / nodes
	b.run.CPUShare = (after.cpu - before.cpu).Seconds() / seconds / nodes
	b.run.PlatformCalls = float64(after.calls-before.calls) / seconds
	return b.run.Bytes.Idle
}

// measureChanges commits versions one after another, waits after each until every node
// has it, and records the convergence times and the usage in the run. It injects
// FaultTenthAndDomain, and does nothing for FaultPlatformDown.
func (b *bench) measureChanges(ctx context.Context, idleByteRate float64) error {
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
		took, err := b.fleet.awaitVersion(ctx, b.version, at, changeTimeout)
		if err != nil {
			return err
		}
		times = append(times, took)
		b.run.VersionRegressions += b.regressions()
		time.Sleep(b.plan.Gap)
	}
	after := b.usage()
	seconds := after.at.Sub(before.at).Seconds()
	nodes, changes := float64(b.run.Nodes), float64(max(b.plan.Changes, 1))
	b.run.Changes = b.plan.Changes
	b.run.Convergence = percentiles(times)
	b.run.Bytes.Changing = float64(after.bytes-before.bytes) / seconds / nodes
	b.run.CPUShareChanging = (after.cpu - before.cpu).Seconds() / seconds / nodes
	b.run.BytesPerChange = (b.run.Bytes.Changing - idleByteRate) * seconds / changes
	b.run.PlatformCallsPerChange = (float64(after.calls-before.calls) - b.run.PlatformCalls*seconds) / changes
	return nil
}

// commit commits the next version and returns when the commit began.
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
		return at, fmt.Errorf("commit of request %s ended with status %s", o.RequestID, o.Status)
	}
	b.version = o.Version
	return at, nil
}

// regressions counts the nodes whose version is lower than at the previous call, and
// records their current versions.
func (b *bench) regressions() int {
	regressions := 0
	for _, m := range b.fleet.members() {
		key, v := string(m.ControlAddress()), m.Version()
		if v < b.lastVersions[key] {
			regressions++
		}
		b.lastVersions[key] = v
	}
	return regressions
}

func (b *bench) usage() usage {
	var r syscall.Rusage
	// Getrusage fails only for invalid arguments, and RUSAGE_SELF is valid.
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

// split returns the numbers from 0 to count-1, those below at and the rest.
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
