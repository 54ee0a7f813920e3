package kqexchange

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqkeeper"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqsuspicion"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqoverlay"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqpeer"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	callTimeout = time.Second
	// reconcileBeats is the least pause between two comparisons, in heartbeats.
	reconcileBeats = 2
	// probeBeats is the pause between two probes of a lost member, and wanderBeats
	// between two of any dead member or seed, in heartbeats.
	probeBeats  = 4
	wanderBeats = 20
	// rememberDead is how long a dead member is probed: a server that comes back
	// within a day during an outage of the platform is found again.
	rememberDead = 24 * time.Hour
	// idleLink is when a connection that is not a neighbour's is closed.
	idleBeats = 10
)

type (
	// Versions is the configuration flow as heartbeats see it.
	Versions interface {
		// Newest is the highest version whose root this node holds.
		Newest() kqname.ConfigVersion
		// Heard is told of every version that a peer says it holds.
		Heard(v kqname.ConfigVersion, from kqname.Address)
		// Answered is told of each peer that answered a heartbeat.
		Answered(n kqname.Node, v kqname.ConfigVersion)
	}

	// Budget says how long bulk must wait; 0 sends it now.
	Budget interface {
		Allow(now time.Time) time.Duration
	}

	// Exchanger keeps this node's table. It is safe for concurrent use.
	Exchanger struct {
		client   *kqpeer.Client
		table    *kqmember.Table
		overlay  *kqoverlay.Overlay
		versions Versions
		budget   Budget
		every    time.Duration
		group    conc.WaitGroup

		mu         sync.Mutex
		contacts   []kqname.Address
		detector   *kqsuspicion.Detector
		busy       map[kqname.Address]bool
		reconciled time.Time
		queue      map[kqname.Node]kqmember.Member
		wake       chan struct{}
		// kick sends heartbeats at once to neighbours that were just learnt of; a
		// starting node would else wait for its next ones before it may serve.
		kick chan struct{}
	}
)

// New returns an exchanger that answers on server and sends through client.
// Contacts are addresses to ask while no member is known, and from time to time
// later on, so that two halves of a fleet that forgot each other join again.
func New(server *kqpeer.Server, client *kqpeer.Client, table *kqmember.Table, overlay *kqoverlay.Overlay,
	versions Versions, budget Budget, contacts []kqname.Address, every time.Duration,
) *Exchanger {
	e := &Exchanger{
		client: client, table: table, overlay: overlay, versions: versions, budget: budget, every: every,
		contacts: contacts, detector: kqsuspicion.New(every), busy: make(map[kqname.Address]bool),
		queue: make(map[kqname.Node]kqmember.Member), wake: make(chan struct{}, 1), kick: make(chan struct{}, 1),
	}
	self := table.Self().Node
	table.OnNews(func(m kqmember.Member) {
		if m.Node == self {
			e.enqueue(m)
		}
	})
	kqpeer.Handle(server, methodBeat, e.answerBeat)
	kqpeer.Handle(server, methodCompare, e.answerCompare)
	kqpeer.Handle(server, methodNews, e.takeNews)
	return e
}

// Run exchanges until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	defer e.group.Wait()
	kept := kqkeeper.From(ctx)
	e.group.Go(func() { kept.Keep(ctx, "news", func() { e.flush(ctx) }) })
	ticker := time.NewTicker(e.every)
	defer ticker.Stop()
	for beat := 0; ; beat++ {
		kept.Try("heartbeat", func() { e.tick(ctx, beat, time.Now()) })
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.kick:
		}
	}
}

// Contact adds an address to ask, such as a reader's found on the platform.
func (e *Exchanger) Contact(ctx context.Context, to kqname.Address) {
	if to != e.table.Self().Control {
		e.start(ctx, to)
	}
}

// Announce tells the neighbours what is news now, and returns once each has it
// or has failed; a leaving node cannot wait for the next flush.
func (e *Exchanger) Announce(ctx context.Context) { e.send(ctx, e.take(maxQueue)) }

func (e *Exchanger) tick(ctx context.Context, beat int, now time.Time) {
	neighbours := e.overlay.Neighbours()
	e.judge(neighbours, now)
	for _, m := range neighbours {
		e.start(ctx, m.Control)
	}
	if to, ok := e.random(func(m kqmember.Member) bool { return m.State != kqmember.Dead }); ok {
		e.start(ctx, to)
	} else {
		for _, to := range e.contacts {
			e.start(ctx, to)
		}
	}
	if beat%probeBeats == probeBeats-1 {
		for _, m := range e.overlay.Lost() {
			e.start(ctx, m.Control)
		}
	}
	if beat%wanderBeats == wanderBeats-1 {
		if to, ok := e.random(func(m kqmember.Member) bool { return m.State == kqmember.Dead }); ok {
			e.start(ctx, to)
		}
		if len(e.contacts) > 0 {
			e.start(ctx, e.contacts[rand.IntN(len(e.contacts))])
		}
		e.table.Forget(now.Add(-rememberDead), now)
	}
	e.client.Sweep(now.Add(-idleBeats * e.every))
}

// judge turns missed heartbeats into suspicions and deaths, which are news.
func (e *Exchanger) judge(neighbours []kqmember.Member, now time.Time) {
	var watched, suspects []kqname.Node
	for _, m := range neighbours {
		watched = append(watched, m.Node)
	}
	for _, m := range e.table.Members() {
		if m.State == kqmember.Suspect {
			suspects = append(suspects, m.Node)
		}
	}
	e.mu.Lock()
	e.detector.Watch(watched, now)
	e.detector.Suspects(suspects, now)
	verdicts := e.detector.Judge(now)
	e.mu.Unlock()
	for _, v := range verdicts {
		m, ok := e.table.Find(v.Node)
		if !ok {
			continue
		}
		m.State = kqmember.Suspect
		if old, _ := e.table.Find(v.Node); v.Judgement == kqsuspicion.Dead || old.State == kqmember.Leaving {
			m.State = kqmember.Dead
		}
		if e.table.Declare(m) {
			e.enqueue(m)
		}
	}
}

func (e *Exchanger) random(fits func(kqmember.Member) bool) (kqname.Address, bool) {
	self := e.table.Self().Node
	var list []kqname.Address
	for _, m := range e.table.Members() {
		if m.Node != self && fits(m) {
			list = append(list, m.Control)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	return list[rand.IntN(len(list))], true
}
