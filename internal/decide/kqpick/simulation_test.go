package kqpick_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqfailing"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// simulation simulates entries of one failure domain that choose among its upstreams,
	// each by the reports that come with its own answers.
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
		// record is the gate's count of them.
		failShare float64
		failed    int
		record    kqfailing.Failing
	}

	job struct {
		entry     int
		peer      *kqpick.Peer
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
	w := &simulation{now: startTime, random: rand.New(rand.NewPCG(seed, 1)), upstreams: make(map[kqname.Node]*upstream)}
	var list []kqmember.Candidate
	for i := range upstreams {
		name := nameOf(i)
		list = append(list, kqmember.Candidate{Node: name, Domain: "d", Gate: kqname.Address(name), Upstream: kqmember.Upstream{Service: "s", Slots: slots, Warm: startTime}})
		w.upstreams[name] = &upstream{slots: slots, factor: []float64{0.5, 1, 1, 1.5}[i%4]}
	}
	for range entries {
		p := kqpick.New("d")
		p.Set(list, w.now)
		w.entries = append(w.entries, p)
	}
	return w
}

func (w *simulation) after(d time.Duration, do func()) { heap.Push(&w.events, event{w.now.Add(d), do}) }

func (w *simulation) call(entry int) {
	p := w.entries[entry].Pick(kqpick.Target{Ample: target / 2}, nil, w.now, w.random)
	j := &job{entry: entry, peer: p, arrivedAt: w.now}
	u := w.upstreams[p.Node]
	u.calls++
	w.after(time.Millisecond, func() {
		if u.running >= u.slots {
			u.waiting = append(u.waiting, j)
			return
		}
		w.run(u, j)
	})
}

func (w *simulation) run(u *upstream, j *job) {
	u.running++
	took := time.Duration(float64(work) * u.factor * (0.7 + 0.6*w.random.Float64()))
	w.after(took, func() {
		u.running--
		failed := w.random.Float64() < u.failShare
		if failed {
			u.failed++
		}
		u.record.Note(failed, w.now)
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			w.run(u, next)
		}
		load := kqcall.Load{Running: u.running, Waiting: len(u.waiting), Slots: u.slots, Work: time.Duration(float64(work) * u.factor), Failing: u.record.Share(w.now)}
		w.after(time.Millisecond, func() {
			w.took = append(w.took, w.now.Sub(j.arrivedAt))
			w.entries[j.entry].Done(j.peer, kqcall.OK(), failed, &load, w.now)
		})
	})
}

// simulate sends calls at the rate for the given time and runs until all have ended.
func (w *simulation) simulate(perSecond float64, length time.Duration) {
	end := w.now.Add(length)
	var arrive func()
	arrive = func() {
		if w.now.After(end) {
			return
		}
		w.call(w.random.IntN(len(w.entries)))
		w.after(time.Duration(w.random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	arrive()
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.do()
	}
}

// 18 entries send calls to 14 upstreams, about ten a second to each, so that an entry's
// reports are seconds old. If each entry chose the best of all upstreams, all would choose
// the same few: calls would queue or be refused there while other upstreams are idle.
func TestEntriesSpreadOverUpstreams(t *testing.T) {
	for seed := range uint64(3) {
		w := newSimulation(18, 14, seed)
		w.simulate(400, 30*time.Second)
		late, most := 0, 0
		for _, d := range w.took {
			if d > target {
				late++
			}
		}
		for _, u := range w.upstreams {
			most = max(most, u.calls)
		}
		mean := float64(len(w.took)) / float64(len(w.upstreams))
		t.Logf("seed %d: %d calls, %d late, busiest has %.2f times the mean", seed, len(w.took), late, float64(most)/mean)
		if late*200 > len(w.took) {
			t.Errorf("seed %d: %d of %d calls late at three quarters of the capacity, want at most 1 in 200", seed, late, len(w.took))
		}
	}
}
