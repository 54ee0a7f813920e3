package kqpick_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqfailrate"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// simulation simulates entries of one failure domain that choose among its upstreams,
	// each by the reports that come with its own answers. took holds the callers'
	// latencies.
	simulation struct {
		now       time.Time
		random    *rand.Rand
		entries   []*kqpick.Pool
		upstreams map[kqname.Node]*upstream
		events    events
		took      []time.Duration
		// waits holds the times from the calls' arrival to their slots.
		waits []time.Duration
		// polls is set if calls ask for a free slot before they queue.
		polls bool
	}

	upstream struct {
		slots, running, calls int
		factor                float64
		waiting               []*job
		// failShare is the share of its calls that fail, failed counts the failures, and
		// failureRate is their rate as the gate reports it.
		failShare   float64
		failed      int
		failureRate kqfailrate.FailureRate
	}

	job struct {
		entry     int
		peer      *kqpick.PoolUpstream
		arrivedAt time.Time
		// polls is how many upstreams the call may still ask for a free slot, and busy those
		// that had none.
		polls int
		busy  []kqname.Node
	}

	event struct {
		at time.Time
		do func()
	}

	events []event
)

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// criteria are those of all calls of a simulation.
var criteria = kqpick.Criteria{ComfortableLatency: target / 2}

// startTime is when a simulation starts.
var startTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const (
	work   = 380 * time.Millisecond
	target = 1200 * time.Millisecond
	slots  = 12
)

func nameOf(i int) kqname.Node { return kqname.Node(fmt.Sprint("n", i)) }

func newSimulation(entries, upstreams int, seed uint64) *simulation {
	sim := &simulation{now: startTime, random: rand.New(rand.NewPCG(seed, 1)), upstreams: make(map[kqname.Node]*upstream)}
	var list []kqmember.Candidate
	for i := range upstreams {
		name := nameOf(i)
		list = append(list, kqmember.Candidate{Node: name, Domain: "d", Gate: kqname.Address(name), Upstream: kqmember.Upstream{Service: "s", Slots: slots, WarmFrom: startTime}})
		sim.upstreams[name] = &upstream{slots: slots, factor: []float64{0.5, 1, 1, 1.5}[i%4]}
	}
	for range entries {
		p := kqpick.New("d")
		p.Set(list, sim.now)
		sim.entries = append(sim.entries, p)
	}
	return sim
}

func (sim *simulation) after(d time.Duration, do func()) {
	heap.Push(&sim.events, event{sim.now.Add(d), do})
}

func (sim *simulation) call(entry int) {
	j := &job{entry: entry, arrivedAt: sim.now}
	if sim.polls {
		j.polls = sim.entries[entry].Polls(criteria, sim.now)
	}
	sim.send(j)
}

// send sends a call to the upstream that its entry picks.
func (sim *simulation) send(j *job) {
	j.peer = sim.entries[j.entry].Pick(criteria, j.busy, sim.now, sim.random)
	u := sim.upstreams[j.peer.Node]
	u.calls++
	sim.after(time.Millisecond, func() {
		switch {
		case u.running < u.slots:
			sim.run(u, j)
		case j.polls > 0:
			load := u.load(sim.now)
			sim.after(time.Millisecond, func() { sim.endPoll(j, &load) })
		default:
			u.waiting = append(u.waiting, j)
		}
	})
}

// endPoll ends a poll of a busy upstream and sends the call to the next one.
func (sim *simulation) endPoll(j *job, load *kqcall.Load) {
	sim.entries[j.entry].Done(j.peer, kqcall.Refuse(kqcall.Busy), false, load, sim.now)
	j.busy = append(j.busy, j.peer.Node)
	if j.polls--; j.polls == 0 {
		j.busy = nil
	}
	sim.send(j)
}

func (u *upstream) load(now time.Time) kqcall.Load {
	return kqcall.Load{
		Running: u.running, Waiting: len(u.waiting), Slots: u.slots,
		RecentDuration: time.Duration(float64(work) * u.factor), FailureRate: u.failureRate.Rate(now),
	}
}

func (sim *simulation) run(u *upstream, j *job) {
	u.running++
	sim.waits = append(sim.waits, sim.now.Sub(j.arrivedAt))
	took := time.Duration(float64(work) * u.factor * (0.7 + 0.6*sim.random.Float64()))
	sim.after(took, func() {
		u.running--
		failed := sim.random.Float64() < u.failShare
		if failed {
			u.failed++
		}
		u.failureRate.Record(failed, sim.now)
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			sim.run(u, next)
		}
		load := u.load(sim.now)
		sim.after(time.Millisecond, func() {
			sim.took = append(sim.took, sim.now.Sub(j.arrivedAt))
			sim.entries[j.entry].Done(j.peer, kqcall.OK(), failed, &load, sim.now)
		})
	})
}

// simulate sends calls at the rate for the given time and runs until all have ended.
func (sim *simulation) simulate(perSecond float64, length time.Duration) {
	end := sim.now.Add(length)
	var arrive func()
	arrive = func() {
		if sim.now.After(end) {
			return
		}
		sim.call(sim.random.IntN(len(sim.entries)))
		sim.after(time.Duration(sim.random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	arrive()
	for len(sim.events) > 0 {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.do()
	}
}

// 18 entries send 400 calls a second to 14 upstreams, so that each entry gets fewer than
// two reports a second of an upstream. If each entry chose the best of all upstreams, all
// would choose the same few: calls would queue or be refused there while other upstreams
// are idle.
func TestEntriesSpreadOverUpstreams(t *testing.T) {
	for seed := range uint64(3) {
		sim := newSimulation(18, 14, seed)
		sim.simulate(400, 30*time.Second)
		late, busiest := 0, 0
		for _, d := range sim.took {
			if d > target {
				late++
			}
		}
		for _, u := range sim.upstreams {
			busiest = max(busiest, u.calls)
		}
		mean := float64(len(sim.took)) / float64(len(sim.upstreams))
		t.Logf("seed %d: %d calls, %d late, busiest has %.2f times the mean", seed, len(sim.took), late, float64(busiest)/mean)
		if late*200 > len(sim.took) {
			t.Errorf("seed %d: %d of %d calls late at three quarters of the capacity, want at most 1 in 200", seed, late, len(sim.took))
		}
	}
}
