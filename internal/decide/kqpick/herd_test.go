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
	// world plays entries of one failure domain that choose among its upstreams, each
	// by what came back with its own answers.
	world struct {
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
		// fails is the part of its calls that fail, failed how many did, and record
		// what its gate tells of them.
		fails  float64
		failed int
		record kqfailing.Failing
	}

	job struct {
		entry   int
		peer    *kqpick.Peer
		arrived time.Time
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

// begin is when a play starts.
var begin = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const (
	work   = 380 * time.Millisecond
	target = 1200 * time.Millisecond
	slots  = 12
)

func nameOf(i int) kqname.Node { return kqname.Node(fmt.Sprint("n", i)) }

func newWorld(entries, upstreams int, seed uint64) *world {
	w := &world{now: begin, random: rand.New(rand.NewPCG(seed, 1)), upstreams: make(map[kqname.Node]*upstream)}
	var list []kqmember.Candidate
	for i := range upstreams {
		name := nameOf(i)
		list = append(list, kqmember.Candidate{Node: name, Domain: "d", Gate: kqname.Address(name), Upstream: kqmember.Upstream{Service: "s", Slots: slots, Warm: begin}})
		w.upstreams[name] = &upstream{slots: slots, factor: []float64{0.5, 1, 1, 1.5}[i%4]}
	}
	for range entries {
		p := kqpick.New("d")
		p.Set(list, w.now)
		w.entries = append(w.entries, p)
	}
	return w
}

func (w *world) after(d time.Duration, do func()) { heap.Push(&w.events, event{w.now.Add(d), do}) }

func (w *world) call(entry int) {
	p := w.entries[entry].Pick(kqpick.Target{Ample: target / 2}, nil, w.now, w.random)
	j := &job{entry: entry, peer: p, arrived: w.now}
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

func (w *world) run(u *upstream, j *job) {
	u.running++
	took := time.Duration(float64(work) * u.factor * (0.7 + 0.6*w.random.Float64()))
	w.after(took, func() {
		u.running--
		failed := w.random.Float64() < u.fails
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
			w.took = append(w.took, w.now.Sub(j.arrived))
			w.entries[j.entry].Done(j.peer, kqcall.OK(), failed, &load, w.now)
		})
	})
}

// play sends calls at a rate for so long and lets all of them end.
func (w *world) play(perSecond float64, length time.Duration) {
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

// Eighteen entries of a failure domain serve callers by its fourteen upstreams, each
// some ten calls a second, so that what an entry knows of an upstream is seconds old.
// If each chose the one that looked best among all, they would meet at the same few:
// callers would wait in a line there while others stand idle, and some be refused.
func TestEntriesDoNotMeetAtOneUpstream(t *testing.T) {
	for seed := range uint64(3) {
		w := newWorld(18, 14, seed)
		w.play(400, 30*time.Second)
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
