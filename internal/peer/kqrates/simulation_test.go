package kqrates_test

import (
	"container/heap"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqadmission"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrates"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	reportTimeout = 400 * time.Millisecond
	window        = 5 * time.Second
)

var (
	errLost = errors.New("report lost")
	origin  = time.Unix(1000, 0)
)

type (
	// simulation plays nodes under a simulated clock and network.
	simulation struct {
		random     *rand.Rand
		now        time.Duration
		queue      eventQueue
		nodes      []*simulatedNode
		workspaces []kqdocument.Workspace
		// callers are the nodes that calls arrive at, and group the side of a partition that
		// each node is on.
		callers []int
		group   []int
		// lossRate and lateRate are the parts of messages that are lost or come late.
		lossRate, lateRate float64
		admitted, refused  map[kqname.Workspace][]time.Duration
		// onRefusal, if set, is called with each refused call's time to retry.
		onRefusal func(w *kqdocument.Workspace, retryAfter time.Duration)
		// asked holds when each node last got a report.
		asked map[*simulatedNode]time.Duration
		// killedAt is when all nodes were last killed.
		killedAt time.Duration
	}

	simulatedNode struct {
		index       int
		table       *kqmember.Table
		rates       *kqrates.Rates
		down        bool
		frozenUntil time.Duration
		offset      time.Duration
		drift       float64
		generation  int
		incarnation uint64
		heard       []time.Duration
		seen        []kqmember.State
		held        []uint64
	}

	event struct {
		at  time.Duration
		run func()
	}

	eventQueue []event
)

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// zipfWorkspaces returns workspaces with rates from 3 to 600 a second, each 1.6 times the usual.
func zipfWorkspaces(count int) []kqdocument.Workspace {
	list := make([]kqdocument.Workspace, count)
	for i := range list {
		rate := max(600/math.Pow(float64(i+1), 1.2), 3)
		list[i] = kqdocument.Workspace{Name: kqname.Workspace(fmt.Sprintf("w%02d", i)), RatePerS: rate, Burst: rate}
	}
	return list
}

func newSimulation(seed uint64, nodes int, workspaces []kqdocument.Workspace) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), workspaces: workspaces, group: make([]int, nodes),
		admitted: make(map[kqname.Workspace][]time.Duration), refused: make(map[kqname.Workspace][]time.Duration),
		asked: make(map[*simulatedNode]time.Duration),
	}
	for i := range nodes {
		n := &simulatedNode{
			index: i, heard: make([]time.Duration, nodes), seen: make([]kqmember.State, nodes), held: make([]uint64, nodes),
			offset: time.Duration(s.random.Int64N(int64(time.Hour))), drift: 1 + (s.random.Float64()-0.5)/1000,
		}
		s.nodes = append(s.nodes, n)
		s.callers = append(s.callers, i)
		s.at(0, func() { s.start(n) })
	}
	s.every(250*time.Millisecond, s.exchangeHeartbeats)
	return s
}

func (s *simulation) at(t time.Duration, run func()) { heap.Push(&s.queue, event{t, run}) }

func (s *simulation) every(period time.Duration, run func()) {
	var next func()
	next = func() { run(); s.at(s.now+period, next) }
	s.at(s.now+period, next)
}

func (s *simulation) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// clock returns the node's own time.
func (s *simulation) clock(n *simulatedNode) time.Time {
	return origin.Add(n.offset + time.Duration(float64(s.now)*n.drift))
}

func (s *simulation) runs(n *simulatedNode) bool { return !n.down && s.now >= n.frozenUntil }

func (s *simulation) reaches(a, b *simulatedNode) bool {
	return s.group[a.index] == s.group[b.index] && s.runs(a) && s.runs(b)
}

func member(n *simulatedNode, state kqmember.State) kqmember.Member {
	return kqmember.Member{Node: kqname.Node(fmt.Sprintf("node-%03d", n.index)), Control: "127.0.0.1:1", Incarnation: n.incarnation, State: state}
}

// start starts a node's process, which knows no other yet.
func (s *simulation) start(n *simulatedNode) {
	n.down = false
	n.generation++
	n.incarnation += 10
	n.table = kqmember.NewTable(member(n, kqmember.Alive))
	for i := range n.seen {
		n.seen[i], n.heard[i], n.held[i] = kqmember.Dead, -time.Minute, 0
	}
	n.rates = kqrates.New(kqrates.Config{
		Table: n.table, Workspaces: func() []kqdocument.Workspace { return s.workspaces },
		Transport: transport{s, n}, Observer: silent{}, Random: s.random, ExpectedNodes: len(s.nodes),
	}, s.clock(n))
	generation := n.generation
	var tick func()
	tick = func() {
		if n.generation != generation || n.down {
			return
		}
		if s.runs(n) {
			n.rates.Tick(s.clock(n))
		}
		s.at(s.now+kqrates.TickPeriod, tick)
	}
	tick()
}

func (s *simulation) kill(n *simulatedNode, downtime time.Duration) {
	n.down = true
	s.at(s.now+downtime, func() { s.start(n) })
}

// exchangeHeartbeats keeps the nodes' tables: a silent peer is suspect after 1.5 s and dead after
// 4 s.
func (s *simulation) exchangeHeartbeats() {
	for _, n := range s.nodes {
		if !s.runs(n) {
			continue
		}
		for i, peer := range s.nodes {
			if peer == n {
				continue
			}
			state := kqmember.Alive
			switch silence := s.now - n.heard[i]; {
			case s.reaches(n, peer):
				n.heard[i] = s.now
				s.learn(n, peer)
			case n.held[i] == 0:
				continue
			case silence > 4*time.Second:
				state = kqmember.Dead
			case silence > 1500*time.Millisecond:
				state = kqmember.Suspect
			default:
				continue
			}
			if state == n.seen[i] && n.held[i] == peer.incarnation {
				continue
			}
			if state == kqmember.Alive && n.held[i] == peer.incarnation {
				peer.incarnation++
			}
			n.seen[i] = state
			if state == kqmember.Alive {
				n.held[i] = peer.incarnation
			}
			m := member(peer, state)
			m.Incarnation = n.held[i]
			n.table.Declare(m)
		}
	}
}

// learn makes a node take over the records of nodes that it does not know from a peer.
func (s *simulation) learn(n, peer *simulatedNode) {
	for i, other := range s.nodes {
		if i == n.index || n.held[i] != 0 || peer.held[i] == 0 {
			continue
		}
		n.held[i], n.seen[i] = peer.held[i], peer.seen[i]
		n.heard[i] = peer.heard[i]
		m := member(other, n.seen[i])
		m.Incarnation = n.held[i]
		n.table.Declare(m)
	}
}

// transport carries reports over the simulated network.
type transport struct {
	s    *simulation
	from *simulatedNode
}

func (t transport) delay() (time.Duration, bool) {
	s := t.s
	switch draw := s.random.Float64(); {
	case draw < s.lossRate:
		return 0, false
	case draw < s.lossRate+s.lateRate:
		return time.Duration(s.random.Int64N(int64(2 * time.Second))), true
	default:
		return time.Millisecond + time.Duration(s.random.Int64N(int64(10*time.Millisecond))), true
	}
}

func (t transport) Send(to kqmember.Member, q kqrates.Report, done func(kqrates.Answer, error)) {
	s, generation, finished := t.s, t.from.generation, false
	finish := func(a kqrates.Answer, err error) {
		if !finished && t.from.generation == generation {
			finished = true
			done(a, err)
		}
	}
	// A frozen sender sees its timeout after it resumes.
	s.at(s.now+reportTimeout, func() { finish(kqrates.Answer{}, errLost) })
	var peer *simulatedNode
	for _, n := range s.nodes {
		if member(n, kqmember.Alive).Node == to.Node {
			peer = n
		}
	}
	s.asked[peer] = s.now
	delay, ok := t.delay()
	if !ok {
		return
	}
	var deliver func()
	deliver = func() {
		if peer.down || s.group[peer.index] != s.group[t.from.index] {
			return
		}
		if !s.runs(peer) {
			s.at(peer.frozenUntil, deliver)
			return
		}
		a, err := peer.rates.Answer(member(t.from, kqmember.Alive).Node, q, s.clock(peer))
		if back, ok := t.delay(); ok {
			s.at(s.now+back, func() {
				if s.reaches(peer, t.from) {
					finish(a, err)
				}
			})
		}
	}
	s.at(s.now+delay, deliver)
}

type silent struct{}

func (silent) LimitChanged(kqrates.LimitChange, time.Time)   {}
func (silent) PortionChanged(int, int, time.Time)            {}
func (silent) Decided(kqname.Workspace, kqadmission.Verdict) {}

// demand makes calls of a workspace arrive at a rate that is a function of time, until end.
func (s *simulation) demand(w *kqdocument.Workspace, until time.Duration, perSecond func(time.Duration) float64) {
	var next func()
	next = func() {
		if s.now >= until {
			return
		}
		s.call(w)
		gap := (0.5 + s.random.Float64()) / max(perSecond(s.now), 1e-3)
		s.at(s.now+time.Duration(gap*float64(time.Second)), next)
	}
	s.at(s.now+time.Duration(s.random.Float64()/max(perSecond(s.now), 1e-3)*float64(time.Second)), next)
}

// call makes a call at a random one of the callers' nodes and reports whether it was admitted.
func (s *simulation) call(w *kqdocument.Workspace) bool {
	// The version in force may be newer than the caller's.
	if i := slices.IndexFunc(s.workspaces, func(o kqdocument.Workspace) bool { return o.Name == w.Name }); i >= 0 {
		w = &s.workspaces[i]
	}
	n := s.nodes[s.callers[s.random.IntN(len(s.callers))]]
	if !s.runs(n) {
		return false
	}
	retryAfter, allowed := n.rates.Admit(w, s.clock(n))
	if allowed {
		s.admitted[w.Name] = append(s.admitted[w.Name], s.now)
		return true
	}
	s.refused[w.Name] = append(s.refused[w.Name], s.now)
	if s.onRefusal != nil {
		s.onRefusal(w, retryAfter)
	}
	return false
}

// worstWindow returns how much of its bound a workspace admitted in the worst window, and when
// that ended.
func (s *simulation) worstWindow(w kqdocument.Workspace) (part float64, at time.Duration) {
	times, first := s.admitted[w.Name], 0
	for i, t := range times {
		for t-times[first] > window {
			first++
		}
		if p := float64(i-first+1) / bound(w); p > part {
			part, at = p, t
		}
	}
	return part, at
}

func bound(w kqdocument.Workspace) float64 {
	return (w.RatePerS*window.Seconds()+w.Burst)*1.1 + 20
}

func countBetween(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, t := range times {
		if t >= from && t < to {
			n++
		}
	}
	return n
}
