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
	// FaultTenthAndDomain kills a tenth of the nodes and a whole failure domain at the
	// moment of a change.
	FaultTenthAndDomain Fault = "tenth_and_domain"
	// FaultPlatformDown makes the platform unavailable and replaces a tenth of the
	// nodes during that time.
	FaultPlatformDown Fault = "platform_down"
	// FaultHerdRestart kills all nodes, commits a version and starts them all again.
	FaultHerdRestart Fault = "herd_restart"

	// minIdle is the shortest time for which an idle fleet is measured: three
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
	// Fault is what goes wrong during a measurement.
	Fault string

	// Plan configures a measurement.
	Plan struct {
		Counts   []int
		Strategy string
		Fault    Fault
		Changes  int
		// Prefetch lets starting nodes take over the hosts of their peers.
		Prefetch bool
		// Idle is how long the settled fleet is measured without changes.
		Idle time.Duration
		// Gap is the pause between two changes.
		Gap time.Duration
	}

	// Measurement measures fleets of increasing size. It is used once.
	Measurement struct {
		plan Plan
	}

	// bench is the state of one run.
	bench struct {
		plan         Plan
		fleet        *fleet
		commits      *kqcommit.Committer
		version      kqname.ConfigVersion
		lastVersions map[string]kqname.ConfigVersion
		run          Run
	}

	// usage is what the fleet has used up to a moment.
	usage struct {
		at           time.Time
		cpu          time.Duration
		bytes, calls uint64
	}
)

// New returns a measurement with the given plan.
func New(p Plan) *Measurement { return &Measurement{plan: p} }

// Run measures each count in turn and calls onRun with each run as it ends.
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

// startFleet starts the fleet, a few nodes first as seeds, and makes nodes fetch
// their first hosts.
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

// idleByteRate measures the fleet without changes, records its usage in the run and
// returns its control bytes per second and node.
func (b *bench) idleByteRate() float64 {
	watch := max(b.plan.Idle, minIdle)
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

// measureChanges commits versions one after another and waits until every node has
// each.
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
	b.run.Convergence = convergence(times)
	b.run.Bytes.Changing = float64(after.bytes-before.bytes) / seconds / nodes
	b.run.CPUShareChanging = (after.cpu - before.cpu).Seconds() / seconds / nodes
	b.run.BytesPerChange = (b.run.Bytes.Changing - idleByteRate) * seconds / changes
	b.run.PlatformCallsChange = (float64(after.calls-before.calls) - b.run.PlatformCalls*seconds) / changes
	return nil
}

// commit commits the next version and returns the time of the commit.
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
