package kqboard

import (
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqevidence"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqledger"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqshare"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqstep"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqverdict"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	minTick = 100 * time.Millisecond
	maxTick = time.Second
	// ticksPerWindow is the number of ticks in a window, unless minTick or maxTick applies.
	ticksPerWindow = 100
	// collectingTicks is how many ticks a node collects reports before it evaluates them:
	// gates report everything counted so far, and reports that came later would be taken
	// for the calls of a single tick.
	collectingTicks = 4
	// busyAveraging is the time over which the number of busy slots is averaged, since
	// calls arrive in bursts of about a second.
	busyAveraging = 3 * time.Second
	// minUnreachablePause and maxUnreachablePause bound the time after a failed connection
	// in which further ones to the same upstream are not counted: by then all nodes know of
	// the failure or have ejected the upstream. Three counted failures roll back a version
	// none of whose upstreams accepts connections, well before it would get all traffic.
	minUnreachablePause, maxUnreachablePause = time.Second, 2 * time.Second
)

// entry is the state of one plan on this node.
type entry struct {
	ledger *kqledger.Ledger

	mu       sync.Mutex
	plan     kqplan.Plan
	progress kqprogress.Progress
	judge    *kqverdict.Judge
	finding  kqverdict.Finding
	totals   Evidence
	// busySlots is the average number of slots in use, and totalSlots the number of slots
	// of both versions at the last step.
	busySlots  float64
	totalSlots int
	knownSince time.Time
	removedAt  time.Time
	lastTick   time.Time
	// collectingSince is when this node began to collect reports.
	collectingSince time.Time
	lastReport      time.Time
	// lastUnreachable is when a failed connection to this node's upstream was last counted,
	// and unreachablePause how long further ones are not counted.
	lastUnreachable  time.Time
	unreachablePause time.Duration
	// owner is the node that last announced itself as the rollout's owner, at ownerSeen.
	owner        kqname.Node
	ownerSeen    time.Time
	lastDecision kqstep.Decision
	// dueFinal is the final state to be stored on the platform.
	dueFinal kqprogress.Final
	// lastEvent is the last event that was returned for logging, so that each is logged once.
	lastEvent string

	cachedKey   splitKey
	cachedSplit kqshare.Burst
}

// splitKey identifies the input of a cached split: a step and an answer of the directory,
// which allocates a new list when the upstreams change.
type splitKey struct {
	first *kqmember.Candidate
	count int
	step  int
}

func newEntry(p kqplan.Plan, self kqledger.Source, now time.Time) *entry {
	return &entry{plan: p, ledger: kqledger.New(self), judge: kqverdict.New(), knownSince: now}
}

func (e *entry) tickInterval() time.Duration {
	return min(max(e.plan.Window()/ticksPerWindow, minTick), maxTick)
}

// evaluate processes the evidence of a tick and rolls back at once if it is bad, whether
// or not this node owns the rollout: waiting for an absent owner would leave a bad version
// its share of the traffic.
func (e *entry) evaluate(now time.Time) {
	if e.collectingSince.IsZero() {
		e.collectingSince = now
	}
	if now.Sub(e.lastTick) < e.tickInterval() || e.isCollecting(now) {
		return
	}
	sample := e.ledger.Take()
	if !e.lastTick.IsZero() {
		e.updateBusySlots(sample, now.Sub(e.lastTick))
	}
	e.lastTick = now
	e.judge.Observe(sample)
	e.finding = e.judge.Finding()
	for i := range sample {
		if sample[i].Route == kqevidence.Young {
			continue
		}
		e.totals.add(&sample[i])
	}
	if e.progress.Open() && !e.progress.RolledBack && kqstep.IsBad(e.plan, e.finding) {
		e.rollback(kqstep.Describe(e.finding))
	}
}

// isCollecting reports whether gates' reports of earlier counts may still arrive. A rollout
// that started only while this node was collecting has no earlier counts. This cannot be
// recognized for an ordered one, whose start each node sets when it receives the plan.
func (e *entry) isCollecting(now time.Time) bool {
	startedWhileCollecting := e.plan.Duration == 0 && e.collectingSince.Sub(e.plan.Start) < e.tickInterval()
	return !startedWhileCollecting && now.Sub(e.collectingSince) < collectingTicks*e.tickInterval()
}

// updateBusySlots updates the average number of busy slots: 200 calls a second of 100 ms
// each keep 20 slots busy. A node that has just begun to collect gets the counts of many
// ticks in one, so the result is limited to the number of slots.
func (e *entry) updateBusySlots(s kqevidence.Sample, elapsed time.Duration) {
	spent := time.Duration(0)
	for i := range s {
		spent += s[i].Old.TotalLatency() + s[i].New.TotalLatency()
	}
	busySlots := float64(spent) / float64(max(elapsed, 1))
	if e.totalSlots > 0 {
		busySlots = min(busySlots, float64(e.totalSlots))
	}
	e.busySlots += (busySlots - e.busySlots) * min(float64(elapsed)/float64(busyAveraging), 1)
}

func (e *entry) rollback(why string) {
	e.progress = kqprogress.Join(e.progress, kqprogress.Progress{RolledBack: true, Why: why})
	e.dueFinal = kqprogress.TakenBack
}

func (e *entry) apply(d kqstep.Decision) {
	e.lastDecision = d
	switch d.Action {
	case kqstep.Advance:
		e.progress.Step++
	case kqstep.TakeBack:
		e.rollback(d.Why)
	case kqstep.Done:
		e.dueFinal = kqprogress.Done
	}
}

// isReportDue reports whether this gate's next report is due, and if so records it as sent.
func (e *entry) isReportDue(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.lastReport) < e.tickInterval() {
		return false
	}
	e.lastReport = now
	return true
}

func (e *entry) hasStarted(now time.Time) bool { return !now.Before(e.plan.Start) }
