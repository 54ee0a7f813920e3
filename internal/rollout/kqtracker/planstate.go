package kqtracker

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
	// minFailureCountPause and maxFailureCountPause bound the time after a counted
	// connection failure in which further ones to the same upstream are not counted: by the
	// end of it all nodes know of the failure or have ejected the upstream. Three counted
	// failures roll back a version none of whose upstreams accepts connections, well before
	// it would get all traffic.
	minFailureCountPause, maxFailureCountPause = time.Second, 2 * time.Second
)

// planState is the state of one plan on this node.
type planState struct {
	ledger *kqledger.Ledger

	mu        sync.Mutex
	plan      kqplan.Plan
	progress  kqprogress.Progress
	evaluator *kqverdict.Evaluator
	finding   kqverdict.Finding
	// callsBeforeStep is the number of the new version's calls before the last step that this
	// node took.
	callsBeforeStep uint64
	totals          Evidence
	// busySlots is the average number of slots in use, and totalSlots the number of slots
	// of both versions at the last call of Step, or 0 before the first.
	busySlots  float64
	totalSlots int
	// newUpstreams holds, for each node, the upstream of the new version that it had at the
	// last call of Step.
	newUpstreams map[kqname.Node]seenUpstream
	// knownSince is when this node first received the plan, and removedAt when the plan was
	// removed from the document, or zero.
	knownSince time.Time
	removedAt  time.Time
	// lastTick is when the evidence was last evaluated.
	lastTick time.Time
	// collectingSince is when this node began to collect reports.
	collectingSince time.Time
	// lastReport is when this gate's report was last due.
	lastReport time.Time
	// lastCountedFailure is when a failed connection to this node's upstream was last
	// counted, and failureCountPause for how long after it further ones are not.
	lastCountedFailure time.Time
	failureCountPause  time.Duration
	// owner is the node that last announced itself as the rollout's owner, at ownerSeen.
	owner        kqname.Node
	ownerSeen    time.Time
	lastDecision kqstep.Decision
	// dueFinal is the final state to be stored on the platform.
	dueFinal kqprogress.Final
	// lastEvent is the last event that was returned for logging, so that each is logged
	// once.
	lastEvent string

	// cachedSplit is the split of calls between the versions for cachedKey.
	cachedKey   splitKey
	cachedSplit kqshare.Distribution
}

// seenUpstream is an upstream by its first announcement, and when this node first saw it.
type seenUpstream struct{ announced, at time.Time }

// splitKey identifies the input of a cached split: a step, and the directory's list of
// upstreams by its first element and length, since a new list is allocated when the
// upstreams change.
type splitKey struct {
	first *kqmember.Candidate
	count int
	step  int
}

func newPlanState(p kqplan.Plan, self kqledger.Source, now time.Time) *planState {
	return &planState{plan: p, ledger: kqledger.New(self), evaluator: kqverdict.New(), newUpstreams: make(map[kqname.Node]seenUpstream), knownSince: now}
}

func (ps *planState) tickInterval() time.Duration {
	return min(max(ps.plan.Window()/ticksPerWindow, minTick), maxTick)
}

// evaluate processes the evidence of a tick, if one is due, and rolls the new version back
// at once if it is bad, whether or not this node owns the rollout: waiting for an absent
// owner would leave a bad version its share of the traffic.
func (ps *planState) evaluate(now time.Time) {
	ps.beginCollecting(now)
	if now.Sub(ps.lastTick) < ps.tickInterval() || ps.isAwaitingEarlierCounts(now) {
		return
	}
	sample := ps.ledger.Take()
	if !ps.lastTick.IsZero() {
		ps.updateBusySlots(sample, now.Sub(ps.lastTick))
	}
	ps.lastTick = now
	ps.evaluator.Observe(sample)
	ps.finding = ps.evaluator.Finding()
	for i := range sample {
		if sample[i].Route == kqevidence.ColdUpstreams {
			continue
		}
		ps.totals.add(&sample[i])
	}
	if ps.progress.Open() && !ps.progress.RolledBack && kqstep.IsBad(ps.plan, ps.finding) {
		ps.rollback(kqstep.Describe(ps.finding))
	}
}

// beginCollecting records that this node collects reports from now on: gates send them to the
// nodes that evaluate a plan and to its owner, which may not have evaluated it before.
func (ps *planState) beginCollecting(now time.Time) {
	if ps.collectingSince.IsZero() {
		ps.collectingSince = now
	}
}

// isAwaitingEarlierCounts reports whether gates' reports of counts from before this node
// began to collect may still arrive. A rollout that started less than a tick before that,
// or later, has no earlier counts. This cannot be recognized for an ordered one, whose start
// each node sets when it receives the plan.
func (ps *planState) isAwaitingEarlierCounts(now time.Time) bool {
	startedWhileCollecting := ps.plan.Duration == 0 && ps.collectingSince.Sub(ps.plan.Start) < ps.tickInterval()
	return !startedWhileCollecting && now.Sub(ps.collectingSince) < collectingTicks*ps.tickInterval()
}

// updateBusySlots updates the average number of busy slots: 200 calls a second of 100 ms
// each keep 20 slots busy. A node that has just begun to collect gets the counts of many
// ticks in one, so the result is limited to the number of slots.
func (ps *planState) updateBusySlots(s kqevidence.Sample, elapsed time.Duration) {
	spent := time.Duration(0)
	for i := range s {
		spent += s[i].Old.TotalLatency() + s[i].New.TotalLatency()
	}
	busySlots := float64(spent) / float64(max(elapsed, 1))
	if ps.totalSlots > 0 {
		busySlots = min(busySlots, float64(ps.totalSlots))
	}
	ps.busySlots += (busySlots - ps.busySlots) * min(float64(elapsed)/float64(busyAveraging), 1)
}

func (ps *planState) rollback(why string) {
	ps.progress = kqprogress.Join(ps.progress, kqprogress.Progress{RolledBack: true, Why: why})
	ps.dueFinal = kqprogress.FinalRollback
}

func (ps *planState) apply(d kqstep.Decision) {
	ps.lastDecision = d
	switch d.Action {
	case kqstep.Advance:
		ps.progress.Step++
		ps.callsBeforeStep = ps.finding.Calls
	case kqstep.Rollback:
		ps.rollback(d.Why)
	case kqstep.Done:
		ps.dueFinal = kqprogress.Done
	}
}

// beginReport reports whether this gate's next report is due, and if so records now as the
// time of the last report.
func (ps *planState) beginReport(now time.Time) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if now.Sub(ps.lastReport) < ps.tickInterval() {
		return false
	}
	ps.lastReport = now
	return true
}

func (ps *planState) hasStarted(now time.Time) bool { return !now.Before(ps.plan.Start) }
