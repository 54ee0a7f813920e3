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
	// oneWayDelay is the network delay between an entry and a gate.
	oneWayDelay    = time.Millisecond
	maxAttempts    = 3
	failureDomains = 4
)

type (
	// Settings are the size of the simulated fleet, with Slots per upstream, and the
	// decisions it uses. With Baseline, gates use a first-come, first-served queue,
	// entries pick upstreams at random and never shed load, and every refusal other
	// than kqcall.NotStartedInTime is retried without a budget.
	Settings struct {
		Upstreams int  `json:"upstreams"`
		Slots     int  `json:"slots"`
		Entries   int  `json:"entries"`
		Baseline  bool `json:"baseline"`
	}

	// Stream is one caller's calls of one route. They arrive as a Poisson process of
	// Rate calls per second for DurationMS. Each takes ServiceTimeMS at a healthy
	// upstream and has a deadline of DeadlineMS after its arrival.
	Stream struct {
		Caller        kqname.Caller    `json:"caller"`
		Route         kqname.Route     `json:"route"`
		Class         kqdocument.Class `json:"class"`
		Rate          float64          `json:"rate"`
		DurationMS    float64          `json:"for_ms"`
		ServiceTimeMS float64          `json:"work_ms"`
		DeadlineMS    float64          `json:"deadline_ms"`
	}

	// Model is the state of one simulation.
	Model struct {
		settings   Settings
		random     *rand.Rand
		entries    []*entry
		upstreams  []*upstream
		candidates []kqmember.Candidate
		events     events
		sequence   int
		now        time.Time
		nextEntry  int
		tally      *Tally
	}

	// queue is the admission queue of an upstream's gate.
	queue interface {
		Enter(t *kqslots.Ticket, now time.Time)
		Leave(t *kqslots.Ticket, took time.Duration, now time.Time) []*kqslots.Ticket
		Expire(t *kqslots.Ticket) bool
		Load() kqcall.Load
	}

	// entry is the state that a node keeps for its callers' calls of the service.
	entry struct {
		pool    *kqpick.Pool
		shedder *kqshed.Shedder
		budget  *kqretry.Budget
	}

	upstream struct {
		queue             queue
		serviceTimeFactor float64
		calls             map[*kqslots.Ticket]*call
	}

	call struct {
		Stream
		arrived, deadline time.Time
		entry             *entry
		peer              *kqpick.PoolUpstream
		triedNodes        []kqname.Node
		ticket            *kqslots.Ticket
	}

	event struct {
		at time.Time
		// sequence keeps events of the same time in the order in which they were
		// scheduled.
		sequence int
		action   func()
	}

	// events is a heap with the next event first.
	events []event
)

// New returns a model at virtual time 0. Equal settings and seeds give equal runs.
func New(s Settings, seed uint64) *Model {
	m := &Model{settings: s, random: rand.New(rand.NewPCG(seed, seed)), now: time.UnixMilli(0), tally: newTally()}
	for i := range s.Upstreams {
		u := &upstream{serviceTimeFactor: 1, calls: make(map[*kqslots.Ticket]*call)}
		u.queue = kqslots.New(s.Slots, uint64(i)*1e9+seed)
		if s.Baseline {
			u.queue = kqfifo.New(s.Slots)
		}
		m.upstreams = append(m.upstreams, u)
		m.candidates = append(m.candidates, kqmember.Candidate{
			Upstream: kqmember.Upstream{Service: "store", Version: "v1", Slots: s.Slots},
			Node:     kqname.Node(fmt.Sprint(i)), Domain: kqname.Domain(fmt.Sprint(i % failureDomains)),
		})
	}
	for i := range s.Entries {
		m.entries = append(m.entries, &entry{
			pool:    kqpick.New(kqname.Domain(fmt.Sprint(i%failureDomains)), kqpick.WithUniform(s.Baseline)),
			shedder: kqshed.New(), budget: kqretry.New(true),
		})
	}
	return m
}

// AddStream starts a stream's arrivals at the current virtual time.
func (m *Model) AddStream(s Stream) {
	until := m.now.Add(milliseconds(s.DurationMS))
	var handleArrival func()
	handleArrival = func() {
		m.handleArrival(s)
		m.schedule(m.interarrivalTime(s), until, handleArrival)
	}
	m.schedule(m.interarrivalTime(s), until, handleArrival)
}

// ScaleServiceTime sets the factor by which an upstream's service times are multiplied,
// for calls that start from now on. It replaces an earlier factor.
func (m *Model) ScaleServiceTime(upstream int, serviceTimeFactor float64) {
	m.upstreams[upstream].serviceTimeFactor = serviceTimeFactor
}

// ResetTally discards the results so far, so that the tally covers only the calls
// that end from now on.
func (m *Model) ResetTally() { m.tally = newTally() }

// RunUntil processes all events up to and including the given virtual time.
func (m *Model) RunUntil(until time.Time) {
	for len(m.events) > 0 && !m.events[0].at.After(until) {
		// The heap contains only events.
		e, _ := heap.Pop(&m.events).(event)
		m.now = e.at
		e.action()
	}
	m.now = until
}

// Tally returns the results of the calls that ended since the last ResetTally.
func (m *Model) Tally() *Tally { return m.tally }

func (m *Model) interarrivalTime(s Stream) time.Duration {
	return time.Duration(m.random.ExpFloat64() / s.Rate * float64(time.Second))
}

// schedule adds an event after the delay d. If until is set and the event would not be
// before it, the event is left out.
func (m *Model) schedule(d time.Duration, until time.Time, action func()) {
	at := m.now.Add(d)
	if !until.IsZero() && !at.Before(until) {
		return
	}
	m.sequence++
	heap.Push(&m.events, event{at, m.sequence, action})
}

func (m *Model) handleArrival(s Stream) {
	e := m.entries[m.nextEntry%len(m.entries)]
	m.nextEntry++
	c := &call{Stream: s, arrived: m.now, deadline: m.now.Add(milliseconds(s.DeadlineMS)), entry: e}
	e.budget.Earn()
	if !m.settings.Baseline && e.shedder.ShouldShed(s.Class, false, m.now, m.random) {
		m.finish(c, kqcall.Refuse(kqcall.Overload))
		return
	}
	m.sendAttempt(c, kqcall.Refuse(kqcall.NoUpstream))
}

// sendAttempt sends a call to an upstream that it has not tried, or finishes it with
// lastOutcome if there is none.
func (m *Model) sendAttempt(c *call, lastOutcome kqcall.Outcome) {
	c.entry.pool.Set(m.candidates, m.now)
	c.peer = c.entry.pool.Pick(kqpick.Criteria{}, c.triedNodes, m.now, m.random)
	if c.peer == nil {
		m.finish(c, lastOutcome)
		return
	}
	c.triedNodes = append(c.triedNodes, c.peer.Node)
	u := m.upstreams[m.upstreamIndex(c.peer.Node)]
	m.schedule(oneWayDelay, time.Time{}, func() { m.enqueue(u, c) })
}

func (m *Model) enqueue(u *upstream, c *call) {
	c.ticket = &kqslots.Ticket{Caller: c.Caller, Route: c.Route, Class: c.Class, Deadline: c.deadline}
	u.calls[c.ticket] = c
	u.queue.Enter(c.ticket, m.now)
	m.applyVerdict(u, c.ticket)
	if t := c.ticket; t.Verdict == kqslots.Wait {
		m.schedule(t.ExpireAt.Sub(m.now), time.Time{}, func() {
			if u.calls[t] != nil && t.Verdict == kqslots.Wait && u.queue.Expire(t) {
				m.applyVerdict(u, t)
			}
		})
	}
}

// applyVerdict starts or refuses a call according to its ticket's verdict, and does
// nothing while the verdict is to wait. A call that would run past its deadline frees its
// slot at the deadline, and its outcome is a timeout.
func (m *Model) applyVerdict(u *upstream, t *kqslots.Ticket) {
	c := u.calls[t]
	switch t.Verdict {
	case kqslots.Run:
		took := time.Duration(float64(milliseconds(c.ServiceTimeMS)) * u.serviceTimeFactor)
		if remaining := c.deadline.Sub(m.now); took > remaining {
			m.schedule(remaining, time.Time{}, func() { m.completeCall(u, c, remaining, kqcall.UnknownOutcome(kqcall.Timeout)) })
			return
		}
		m.schedule(took, time.Time{}, func() { m.completeCall(u, c, took, kqcall.OK()) })
	case kqslots.Refuse:
		delete(u.calls, t)
		m.sendResponse(u, c, t.Refusal)
	}
}

func (m *Model) completeCall(u *upstream, c *call, took time.Duration, o kqcall.Outcome) {
	delete(u.calls, c.ticket)
	for _, t := range u.queue.Leave(c.ticket, took, m.now) {
		m.applyVerdict(u, t)
	}
	m.sendResponse(u, c, o)
}

func (m *Model) sendResponse(u *upstream, c *call, o kqcall.Outcome) {
	load := u.queue.Load()
	m.schedule(oneWayDelay, time.Time{}, func() { m.handleResponse(c, o, load) })
}

// handleResponse retries a call or finishes it, after its response has reached the
// entry.
func (m *Model) handleResponse(c *call, o kqcall.Outcome, load kqcall.Load) {
	e := c.entry
	if o.Reason == kqcall.QueueFull {
		e.shedder.RecordRefusal(c.Class)
	}
	e.pool.Done(c.peer, o, false, &load, m.now)
	retry := e.budget.Spend(o, true)
	if m.settings.Baseline {
		retry = o.Result == kqcall.NotRun && o.Reason != kqcall.NotStartedInTime
	}
	if !retry || len(c.triedNodes) == maxAttempts || !m.now.Before(c.deadline) {
		m.finish(c, o)
		return
	}
	m.tally.Retries++
	m.sendAttempt(c, o)
}

func (m *Model) finish(c *call, o kqcall.Outcome) {
	m.tally.add(c, o, m.now.Sub(c.arrived), m.now.After(c.deadline.Add(oneWayDelay)))
}

func (m *Model) upstreamIndex(n kqname.Node) int {
	for i, c := range m.candidates {
		if c.Node == n {
			return i
		}
	}
	return 0
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) {
	// The heap contains only events.
	item, _ := x.(event)
	*e = append(*e, item)
}

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
