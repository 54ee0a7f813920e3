package kqplacement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqslots"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// Random chooses any upstream.
	Random Policy = "random"
	// FewestRunning chooses the upstream with the fewest known calls.
	FewestRunning Policy = "fewest running"
	// TwoChoices chooses the one of two random upstreams with the fewest known calls.
	TwoChoices Policy = "two choices"
	// LeastWait chooses as entries do, without reports of upstreams.
	LeastWait Policy = "least expected wait"
	// WithReports chooses as entries do, with reports of upstreams.
	WithReports Policy = "with reports"
	// GateOnly uses reports at the gates alone.
	GateOnly Policy = "reports at gates only"

	// Target is the time until which a call is answered in time.
	Target = 600 * time.Millisecond

	deadline    = 2 * time.Second
	maxGates    = 6
	herdWindow  = 20 * time.Millisecond
	localDelay  = 200 * time.Microsecond
	remoteDelay = 1400 * time.Microsecond
)

// epoch is the time at which simulations begin.
var epoch = time.Unix(1_000_000, 0)

type (
	// Policy is how upstreams are chosen.
	Policy string

	// Settings are what is simulated. Load is the mean demand as a share of the capacity.
	// Wave is the share by which each domain's demand rises and falls, one domain after
	// another. Calls of the first Warmup are not counted.
	Settings struct {
		Policy                             Policy
		Upstreams, Slots, Entries, Domains int
		Load, Wave                         float64
		WavePeriod                         time.Duration
		HasSlowPeriods                     bool
		Warmup, Length                     time.Duration
		Seed                               uint64
		// NoDomainPreference makes entries ignore domains.
		NoDomainPreference bool
		// ComfortableShare is the share of Target up to which entries stay in their domain.
		ComfortableShare float64
		// Report replaces what an upstream reports, if it is not nil.
		Report func(upstream int, r kqcall.ServerReport) kqcall.ServerReport
	}

	// Result is how calls ended. Herd is the largest number of calls sent to one upstream
	// within 20 ms, and Crossed the share of attempts that left the entry's domain.
	Result struct {
		Calls, Refused int
		Mean, P99      time.Duration
		InTime         float64
		Herd           int
		Crossed        float64
		// Switched is the share of attempts that left the entry's domain or stayed in it
		// unlike the entry's attempt before.
		Switched float64
		// ByUpstream holds how many attempts each upstream got.
		ByUpstream []int
	}

	model struct {
		Settings
		trace
		random    *rand.Rand
		now       time.Duration
		events    events
		sequence  int
		entries   []*entry
		gates     []*gate
		all       []kqmember.Candidate
		took      []time.Duration
		sent      int
		crossed   int
		switched  int
		inTime    int
		result    Result
		nodeIndex map[kqname.Node]int
	}

	entry struct {
		pool *kqpick.Pool
		// inFlight holds this entry's calls at each upstream, and reported the running ones
		// by the last report.
		inFlight, reported []int
		// crossed is set if the latest attempt left the entry's domain.
		crossed bool
	}

	gate struct {
		queue *kqslots.Slots
		calls map[*kqslots.Ticket]*call
		// recent holds the times of the latest attempts.
		recent []time.Duration
	}

	call struct {
		arrival
		tried    []kqname.Node
		peer     *kqpick.PoolUpstream
		upstream int
		ticket   *kqslots.Ticket
	}

	event struct {
		at       time.Duration
		sequence int
		action   func()
	}
	events []event
)

// Run plays the settings and returns how the calls ended.
func Run(s Settings) Result {
	m := &model{Settings: s, trace: draw(s), random: rand.New(rand.NewPCG(s.Seed, 2)), nodeIndex: make(map[kqname.Node]int)}
	for i := range s.Upstreams {
		name := kqname.Node(fmt.Sprint(i))
		m.nodeIndex[name] = i
		m.all = append(m.all, kqmember.Candidate{
			Upstream: kqmember.Upstream{Service: "store", Version: "v1", Slots: s.Slots, Start: uint64(i)}, Node: name,
			Domain: kqname.Domain(fmt.Sprint(i % s.Domains)),
		})
		m.gates = append(m.gates, &gate{queue: kqslots.New(s.Slots, uint64(i), kqslots.WithFixedLimit()), calls: make(map[*kqslots.Ticket]*call)})
	}
	for i := range s.Entries {
		domain := kqname.Domain(fmt.Sprint(i % s.Domains))
		if s.NoDomainPreference {
			domain = "none"
		}
		e := &entry{pool: kqpick.New(domain, kqpick.WithUniform(s.Policy == Random)), inFlight: make([]int, s.Upstreams), reported: make([]int, s.Upstreams)}
		m.entries = append(m.entries, e)
	}
	m.result.ByUpstream = make([]int, s.Upstreams)
	for _, a := range m.arrivals {
		m.schedule(a.at, func() { m.attempt(&call{arrival: a}, kqcall.NoUpstream) })
	}
	for len(m.events) > 0 {
		// The heap holds events only.
		e, _ := heap.Pop(&m.events).(event)
		m.now = e.at
		e.action()
	}
	return m.summary()
}

func (s Settings) wavePeriod() time.Duration { return max(s.WavePeriod, time.Second) }

func (m *model) time() time.Time { return epoch.Add(m.now) }

func (m *model) schedule(at time.Duration, action func()) {
	m.sequence++
	heap.Push(&m.events, event{at, m.sequence, action})
}

// attempt sends the call to an upstream that it has not tried, or ends it.
func (m *model) attempt(c *call, last kqcall.Reason) {
	e := m.entries[c.entry]
	e.pool.Set(m.all, m.time())
	criteria := m.criteria(e, c)
	if last != kqcall.NoUpstream && (len(c.tried) >= maxGates || !e.pool.HasFreeSlot(criteria, c.tried, m.time())) {
		m.end(c, false)
		return
	}
	c.peer = e.pool.Pick(criteria, c.tried, m.time(), m.random)
	if c.peer == nil {
		m.end(c, false)
		return
	}
	c.upstream = m.nodeIndex[c.peer.Node]
	c.tried = append(c.tried, c.peer.Node)
	e.inFlight[c.upstream]++
	m.count(c)
	m.schedule(m.now+m.delay(c), func() { m.enter(c) })
}

// criteria returns those of a call. Policies that are not the entry's own allow a single
// upstream.
func (m *model) criteria(e *entry, c *call) kqpick.Criteria {
	criteria := kqpick.Criteria{Route: "work", ComfortableLatency: time.Duration(m.ComfortableShare * float64(Target))}
	if m.Policy != FewestRunning && m.Policy != TwoChoices {
		return criteria
	}
	choices := m.random.Perm(m.Upstreams)
	if m.Policy == TwoChoices {
		choices = choices[:2]
	}
	choices = slices.DeleteFunc(choices, func(i int) bool { return slices.Contains(c.tried, m.all[i].Node) })
	if len(choices) == 0 {
		return criteria
	}
	best := slices.MinFunc(choices, func(a, b int) int {
		return e.reported[a] + e.inFlight[a] - e.reported[b] - e.inFlight[b]
	})
	criteria.Nodes = map[kqname.Node]bool{m.all[best].Node: true}
	return criteria
}

func (m *model) enter(c *call) {
	g := m.gates[c.upstream]
	c.ticket = &kqslots.Ticket{Caller: kqname.Caller(fmt.Sprint(c.entry)), Route: "work", Deadline: epoch.Add(c.at + deadline), Target: epoch.Add(c.at + Target)}
	g.calls[c.ticket] = c
	g.queue.Enter(c.ticket, m.time())
	m.apply(g, c.ticket)
	if t := c.ticket; t.Verdict == kqslots.Wait {
		m.schedule(t.ExpireAt.Sub(epoch), func() {
			if g.calls[t] != nil && g.queue.Expire(t) {
				m.apply(g, t)
			}
		})
	}
}

// apply acts on a ticket's verdict.
func (m *model) apply(g *gate, t *kqslots.Ticket) {
	c := g.calls[t]
	switch t.Verdict {
	case kqslots.Run:
		began := m.now
		m.schedule(m.upstreams[c.upstream].finish(m.now, c.work), func() { m.complete(g, c, m.now-began) })
	case kqslots.Refuse:
		delete(g.calls, t)
		m.respond(g, c, t.Refusal)
	}
}

func (m *model) complete(g *gate, c *call, took time.Duration) {
	delete(g.calls, c.ticket)
	if m.Policy == WithReports || m.Policy == GateOnly {
		for _, t := range g.queue.Report(m.report(g, c.upstream), m.time()) {
			m.apply(g, t)
		}
	}
	for _, t := range g.queue.Leave(c.ticket, took, m.time()) {
		m.apply(g, t)
	}
	m.respond(g, c, kqcall.OK())
}

// report returns what the upstream states of its load.
func (m *model) report(g *gate, upstream int) kqcall.ServerReport {
	slowdown, _ := m.upstreams[upstream].slowdown(m.now)
	r := kqcall.ServerReport{HasLoad: true, Running: g.queue.Load().Running, Slots: m.Slots, Slowdown: slowdown}
	if m.Report != nil {
		r = m.Report(upstream, r)
	}
	return r
}

// respond sends the outcome to the entry.
func (m *model) respond(g *gate, c *call, o kqcall.Outcome) {
	load := g.queue.LoadFor(c.ticket, m.time())
	if m.Policy == GateOnly && load.Slowdown > 0 {
		load.ExpectedWork = time.Duration(float64(load.ExpectedWork) / load.Slowdown)
		load.RecentDuration = time.Duration(float64(load.RecentDuration) / load.Slowdown)
		load.Slowdown = 0
	}
	load.Route = "work"
	m.schedule(m.now+m.delay(c), func() {
		e := m.entries[c.entry]
		e.inFlight[c.upstream]--
		e.reported[c.upstream] = load.Running + load.Waiting
		e.pool.Done(c.peer, o, false, &load, m.time())
		switch {
		case o.Result == kqcall.Answered:
			m.end(c, true)
		case o.Reason == kqcall.QueueFull:
			m.attempt(c, o.Reason)
		default:
			m.end(c, false)
		}
	})
}

func (m *model) delay(c *call) time.Duration {
	if c.upstream%m.Domains == c.entry%m.Domains {
		return localDelay
	}
	return remoteDelay
}
