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
	p := sim.entries[entry].Pick(kqpick.Criteria{ComfortableLatency: target / 2}, nil, sim.now, sim.random)
	j := &job{entry: entry, peer: p, arrivedAt: sim.now}
	u := sim.upstreams[p.Node]
	u.calls++
	sim.after(time.Millisecond, func() {
		if u.running >= u.slots {
			u.waiting = append(u.waiting, j)
			return
		}
		sim.run(u, j)
	})
}

func (sim *simulation) run(u *upstream, j *job) {
	u.running++
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
		load := kqcall.Load{Running: u.running, Waiting: len(u.waiting), Slots: u.slots, RecentDuration: time.Duration(float64(work) * u.factor), FailureRate: u.failureRate.Rate(sim.now)}
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
