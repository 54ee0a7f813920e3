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
	shortestTick = 100 * time.Millisecond
	longestTick  = time.Second
	// ticks is how many ticks a short window is cut into at least.
	ticks = 100
	// listens is how many ticks a node collects before it weighs: gates report all that
	// they have counted, and what comes later would pass for one tick's calls.
	listens = 4
	// busyOver is the time over which the slots in use are averaged: calls come in
	// clumps of a second.
	busyOver = 3 * time.Second
	// firstPause is how long an upstream that could not be connected to is not
	// counted as such again: all nodes have heard of it or left it out by then.
	// Three such counts take a version back that listens to nobody, well before it
	// would get all traffic.
	firstPause, longestPause = time.Second, 2 * time.Second
)

// entry is one plan as this node knows it.
type entry struct {
	ledger *kqledger.Ledger

	mu       sync.Mutex
	plan     kqplan.Plan
	progress kqprogress.Progress
	judge    *kqverdict.Judge
	finding  kqverdict.Finding
	totals   Evidence
	// busy is how many slots calls have in use, of the slots that both versions had at
	// the last step.
	busy   float64
	slots  int
	seen   time.Time
	gone   time.Time
	ticked time.Time
	// collects is when this node began to weigh the evidence.
	collects time.Time
	reported time.Time
	// unreachable is when this node's upstream was last counted as one that could
	// not be connected to, and pause how long it is not counted so again.
	unreachable time.Time
	pause       time.Duration
	// owner is who last said to own the rollout, and heard when.
	owner kqname.Node
	heard time.Time
	last  kqstep.Decision
	wish  kqprogress.Final
	// told is the last event that was logged, so that each is told once.
	told string

	splitFor  splitKey
	splitting kqshare.Burst
}

// splitKey tells a directory's answer from another; it makes each anew.
type splitKey struct {
	first *kqmember.Candidate
	count int
	step  int
}

func newEntry(p kqplan.Plan, self kqledger.Source, now time.Time) *entry {
	return &entry{plan: p, ledger: kqledger.New(self), judge: kqverdict.New(), seen: now}
}

func (e *entry) tick() time.Duration {
	return min(max(e.plan.Window()/ticks, shortestTick), longestTick)
}

// weigh takes in a tick's evidence and rolls back at once on bad evidence,
// whoever owns the rollout: waiting for the owner would let a bad version have
// its share for as long as the owner is away.
func (e *entry) weigh(now time.Time) {
	if e.collects.IsZero() {
		e.collects = now
	}
	if now.Sub(e.ticked) < e.tick() || e.listening(now) {
		return
	}
	sample := e.ledger.Take()
	if !e.ticked.IsZero() {
		e.use(sample, now.Sub(e.ticked))
	}
	e.ticked = now
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

// listening reports whether gates' reports of what they have counted before may still come
// in. Of a rollout that began with this node's collecting there is nothing to wait for; an
// ordered one begins anew on a node that has started in its midst.
func (e *entry) listening(now time.Time) bool {
	began := e.plan.Duration == 0 && e.collects.Sub(e.plan.Start) < e.tick()
	return !began && now.Sub(e.collects) < listens*e.tick()
}

// use follows how many slots are in use: calls that took 100 ms each, 200 a second,
// have 20 in use on average. A node that has just begun to collect gets the counts of
// many ticks in one, which cannot be more than all slots.
func (e *entry) use(s kqevidence.Sample, elapsed time.Duration) {
	spent := time.Duration(0)
	for i := range s {
		spent += s[i].Old.Spent() + s[i].New.Spent()
	}
	busy := float64(spent) / float64(max(elapsed, 1))
	if e.slots > 0 {
		busy = min(busy, float64(e.slots))
	}
	e.busy += (busy - e.busy) * min(float64(elapsed)/float64(busyOver), 1)
}

func (e *entry) rollback(why string) {
	e.progress = kqprogress.Join(e.progress, kqprogress.Progress{RolledBack: true, Why: why})
	e.wish = kqprogress.TakenBack
}

func (e *entry) apply(d kqstep.Decision) {
	e.last = d
	switch d.Action {
	case kqstep.Advance:
		e.progress.Step++
	case kqstep.TakeBack:
		e.rollback(d.Why)
	case kqstep.Done:
		e.wish = kqprogress.Done
	}
}

// due reports whether it is time for this gate's next report.
func (e *entry) due(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.reported) < e.tick() {
		return false
	}
	e.reported = now
	return true
}

func (e *entry) started(now time.Time) bool { return !now.Before(e.plan.Start) }
