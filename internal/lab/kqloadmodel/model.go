package kqloadmodel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqfifo"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqretry"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqshed"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqslots"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	oneWay   = time.Millisecond
	maxTries = 3
	domains  = 4
)

type (
	// Settings are the model's sizes.
	Settings struct {
		Upstreams int  `json:"upstreams"`
		Slots     int  `json:"slots"`
		Entries   int  `json:"entries"`
		Baseline  bool `json:"baseline"`
	}

	// Stream is one caller's calls of one route, with Poisson arrivals.
	Stream struct {
		Caller     kqname.Caller    `json:"caller"`
		Route      kqname.Route     `json:"route"`
		Class      kqdocument.Class `json:"class"`
		Rate       float64          `json:"rate"`
		ForMS      float64          `json:"for_ms"`
		WorkMS     float64          `json:"work_ms"`
		DeadlineMS float64          `json:"deadline_ms"`
	}

	// Model is a running one.
	Model struct {
		settings  Settings
		random    *rand.Rand
		entries   []*entry
		upstreams []*upstream
		directory []kqmember.Candidate
		events    events
		order     int
		now       time.Time
		next      int
		tally     *Tally
	}

	queue interface {
		Enter(t *kqslots.Ticket, now time.Time)
		Leave(t *kqslots.Ticket, took time.Duration, now time.Time) []*kqslots.Ticket
		Expire(t *kqslots.Ticket) bool
		Load() kqcall.Load
	}

	entry struct {
		pool    *kqpick.Pool
		shedder *kqshed.Shedder
		budget  *kqretry.Budget
	}

	upstream struct {
		queue  queue
		factor float64
		calls  map[*kqslots.Ticket]*call
	}

	call struct {
		Stream
		arrived, deadline time.Time
		entry             *entry
		peer              *kqpick.Peer
		tried             []kqname.Node
		ticket            *kqslots.Ticket
	}

	event struct {
		at    time.Time
		order int
		do    func()
	}

	events []event
)

// New returns a model at its beginning; the seed fixes all its chances.
func New(s Settings, seed uint64) *Model {
	m := &Model{settings: s, random: rand.New(rand.NewPCG(seed, seed)), now: time.UnixMilli(0), tally: newTally()}
	for i := range s.Upstreams {
		u := &upstream{factor: 1, calls: make(map[*kqslots.Ticket]*call)}
		u.queue = kqslots.New(s.Slots, uint64(i)*1e9+seed)
		if s.Baseline {
			u.queue = kqfifo.New(s.Slots)
		}
		m.upstreams = append(m.upstreams, u)
		m.directory = append(m.directory, kqmember.Candidate{
			Upstream: kqmember.Upstream{Service: "store", Version: "v1", Slots: s.Slots},
			Node:     kqname.Node(fmt.Sprint(i)), Domain: kqname.Domain(fmt.Sprint(i % domains)),
		})
	}
	for i := range s.Entries {
		m.entries = append(m.entries, &entry{
			pool:    kqpick.New(kqname.Domain(fmt.Sprint(i%domains)), kqpick.WithPlain(s.Baseline)),
			shedder: kqshed.New(), budget: kqretry.New(true),
		})
	}
	return m
}

// Offer has a stream's calls arrive from now on.
func (m *Model) Offer(s Stream) {
	until := m.now.Add(ms(s.ForMS))
	var arrive func()
	arrive = func() {
		m.arrive(s)
		m.after(m.gap(s), until, arrive)
	}
	m.after(m.gap(s), until, arrive)
}

// Slow makes an upstream take factor times as long for calls that begin from
// now on.
func (m *Model) Slow(upstream int, factor float64) { m.upstreams[upstream].factor = factor }

// Mark forgets the tally, so that what follows is told apart.
func (m *Model) Mark() { m.tally = newTally() }

// Run plays all that happens until then.
func (m *Model) Run(until time.Time) {
	for len(m.events) > 0 && !m.events[0].at.After(until) {
		// The heap holds events only.
		e, _ := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	m.now = until
}

// Tally returns what the callers of calls that ended since the last mark
// received.
func (m *Model) Tally() *Tally { return m.tally }

func (m *Model) gap(s Stream) time.Duration {
	return time.Duration(m.random.ExpFloat64() / s.Rate * float64(time.Second))
}

func (m *Model) after(d time.Duration, until time.Time, do func()) {
	at := m.now.Add(d)
	if !until.IsZero() && !at.Before(until) {
		return
	}
	m.order++
	heap.Push(&m.events, event{at, m.order, do})
}

func (m *Model) arrive(s Stream) {
	e := m.entries[m.next%len(m.entries)]
	m.next++
	c := &call{Stream: s, arrived: m.now, deadline: m.now.Add(ms(s.DeadlineMS)), entry: e}
	e.budget.Earn()
	if !m.settings.Baseline && e.shedder.Refuse(s.Class, false, m.now, m.random) {
		m.end(c, kqcall.Refuse(kqcall.Overload))
		return
	}
	m.try(c, kqcall.Refuse(kqcall.NoUpstream))
}

func (m *Model) try(c *call, last kqcall.Outcome) {
	c.entry.pool.Set(m.directory, m.now)
	c.peer = c.entry.pool.Pick(kqpick.Target{}, c.tried, m.now, m.random)
	if c.peer == nil {
		m.end(c, last)
		return
	}
	c.tried = append(c.tried, c.peer.Node)
	u := m.upstreams[m.index(c.peer.Node)]
	m.after(oneWay, time.Time{}, func() { m.enter(u, c) })
}

func (m *Model) enter(u *upstream, c *call) {
	c.ticket = &kqslots.Ticket{Caller: c.Caller, Route: c.Route, Class: c.Class, Deadline: c.deadline}
	u.calls[c.ticket] = c
	u.queue.Enter(c.ticket, m.now)
	m.settle(u, c.ticket)
	if t := c.ticket; t.Verdict == kqslots.Wait {
		m.after(t.GiveUp.Sub(m.now), time.Time{}, func() {
			if u.calls[t] != nil && t.Verdict == kqslots.Wait && u.queue.Expire(t) {
				m.settle(u, t)
			}
		})
	}
}

// settle acts on a ticket's verdict.
func (m *Model) settle(u *upstream, t *kqslots.Ticket) {
	c := u.calls[t]
	switch t.Verdict {
	case kqslots.Run:
		took := time.Duration(float64(ms(c.WorkMS)) * u.factor)
		if left := c.deadline.Sub(m.now); took > left {
			m.after(left, time.Time{}, func() { m.leave(u, c, left, kqcall.Lose(kqcall.Timeout)) })
			return
		}
		m.after(took, time.Time{}, func() { m.leave(u, c, took, kqcall.OK()) })
	case kqslots.Refuse:
		delete(u.calls, t)
		m.respond(u, c, t.Refusal)
	}
}

func (m *Model) leave(u *upstream, c *call, took time.Duration, o kqcall.Outcome) {
	delete(u.calls, c.ticket)
	for _, t := range u.queue.Leave(c.ticket, took, m.now) {
		m.settle(u, t)
	}
	m.respond(u, c, o)
}

func (m *Model) respond(u *upstream, c *call, o kqcall.Outcome) {
	load := u.queue.Load()
	m.after(oneWay, time.Time{}, func() { m.judge(c, o, load) })
}

func (m *Model) judge(c *call, o kqcall.Outcome, load kqcall.Load) {
	e := c.entry
	if o.Reason == kqcall.QueueFull {
		e.shedder.Refused(c.Class)
	}
	e.pool.Done(c.peer, o, false, &load, m.now)
	again := e.budget.Spend(o, true)
	if m.settings.Baseline {
		again = o.Result == kqcall.NotRun && o.Reason != kqcall.Late
	}
	if !again || len(c.tried) == maxTries || !m.now.Before(c.deadline) {
		m.end(c, o)
		return
	}
	m.tally.Retries++
	m.try(c, o)
}

func (m *Model) end(c *call, o kqcall.Outcome) {
	m.tally.add(c, o, m.now.Sub(c.arrived), m.now.After(c.deadline.Add(oneWay)))
}

func (m *Model) index(n kqname.Node) int {
	for i, c := range m.directory {
		if c.Node == n {
			return i
		}
	}
	return 0
}

func ms(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) {
	// The heap holds events only.
	one, _ := x.(event)
	*e = append(*e, one)
}

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
