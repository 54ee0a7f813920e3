package kqmembersync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/base/kqsupervisor"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqdetector"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqoverlay"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	callTimeout = time.Second
	// reconcileBeats is the least time between two comparisons, in heartbeats.
	reconcileBeats = 2
	// probeBeats is the interval between probes of dead members that would be
	// neighbours, in heartbeats. Every randomProbeBeats heartbeats one random dead
	// member and one random contact are probed.
	probeBeats       = 4
	randomProbeBeats = 20
	// deadRetention is how long a dead member is probed: a server that returns
	// within a day during an outage of the platform is found again.
	deadRetention = 24 * time.Hour
	// idleBeats is how long a connection may be idle before it is closed, in
	// heartbeats.
	idleBeats = 10
)

type (
	// Versions exchanges configuration versions by heartbeats.
	Versions interface {
		// Newest returns the highest version whose root this node holds.
		Newest() kqname.ConfigVersion
		// VersionSeen is called with the newest version in each heartbeat, or answer to
		// one, of a peer.
		VersionSeen(v kqname.ConfigVersion, from kqname.Address)
		// PeerAnswered is called with each peer that answered a heartbeat and the newest
		// version in the answer.
		PeerAnswered(n kqname.Node, v kqname.ConfigVersion)
	}

	// Budget limits the bulk traffic of comparisons and floods.
	Budget interface {
		// Delay returns 0 if bulk traffic may be sent now, and otherwise how long to
		// wait.
		Delay(now time.Time) time.Duration
	}

	// Synchronizer synchronizes this node's table with its peers'. It is safe for
	// concurrent use.
	Synchronizer struct {
		client   *kqrpc.Client
		table    *kqmember.Table
		overlay  *kqoverlay.Overlay
		versions Versions
		budget   Budget
		interval time.Duration
		group    conc.WaitGroup

		mu           sync.Mutex
		contacts     []kqname.Address
		detector     *kqdetector.Detector
		busy         map[kqname.Address]bool
		lastCompared time.Time
		// queue holds the records to be flooded, the latest of each node.
		queue map[kqname.Node]kqmember.Member
		wake  chan struct{}
		// beatNow triggers heartbeats at once when a node has learned its first
		// members: a starting node would otherwise wait for the next tick before it
		// may serve.
		beatNow chan struct{}
	}
)

// New returns an exchanger that registers its methods on server and sends through
// client, with a heartbeat to each neighbour per interval. Contacts are addresses
// that get heartbeats while every known peer is dead or none is known, and one of them
// from time to time later on, so that two parts of a fleet that dropped each other
// join again.
func New(server *kqrpc.Server, client *kqrpc.Client, table *kqmember.Table, overlay *kqoverlay.Overlay,
	versions Versions, budget Budget, contacts []kqname.Address, interval time.Duration,
) *Synchronizer {
	e := &Synchronizer{
		client: client, table: table, overlay: overlay, versions: versions, budget: budget, interval: interval,
		contacts: contacts, detector: kqdetector.New(interval), busy: make(map[kqname.Address]bool),
		queue: make(map[kqname.Node]kqmember.Member), wake: make(chan struct{}, 1), beatNow: make(chan struct{}, 1),
	}
	self := table.Self().Node
	table.OnChange(func(m kqmember.Member) {
		if m.Node == self {
			e.enqueue(m)
		}
	})
	kqrpc.Handle(server, methodHeartbeat, e.answerHeartbeat)
	kqrpc.Handle(server, methodCompare, e.answerCompare)
	kqrpc.Handle(server, methodUpdates, e.mergeUpdates)
	return e
}

// Run sends heartbeats and floods changed records until ctx ends.
func (e *Synchronizer) Run(ctx context.Context) {
	defer e.group.Wait()
	keeper := kqsupervisor.From(ctx)
	e.group.Go(func() { keeper.RunWithRestart(ctx, "news", func() { e.floodQueue(ctx) }) })
	ticker := time.NewTicker(e.interval)
	defer ticker.Stop()
	for beat := 0; ; beat++ {
		keeper.RunRecovered("heartbeat", func() { e.tick(ctx, beat, time.Now()) })
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.beatNow:
		}
	}
}

// Probe sends a heartbeat to an address outside the table, such as that of a
// node found through the store.
func (e *Synchronizer) Probe(ctx context.Context, to kqname.Address) {
	if to != e.table.Self().Control {
		e.sendHeartbeat(ctx, to)
	}
}

// FlushUpdates sends all queued records to the neighbours at once, and returns when
// each has received them or has failed. A leaving node uses it, since it cannot
// wait for the next flood.
func (e *Synchronizer) FlushUpdates(ctx context.Context) { e.send(ctx, e.dequeue(maxQueue)) }

// tick sends the heartbeats that are due on a beat: to all neighbours, to a random
// member that is not dead or, without one, to all contacts, and to the members to be
// probed. It also prunes dead members and closes idle connections.
func (e *Synchronizer) tick(ctx context.Context, beat int, now time.Time) {
	neighbours := e.overlay.Neighbours()
	e.detectFailures(neighbours, now)
	for _, m := range neighbours {
		e.sendHeartbeat(ctx, m.Control)
	}
	if to, ok := e.randomAddress(func(m kqmember.Member) bool { return m.State != kqmember.Dead }); ok {
		e.sendHeartbeat(ctx, to)
	} else {
		for _, to := range e.contacts {
			e.sendHeartbeat(ctx, to)
		}
	}
	if beat%probeBeats == probeBeats-1 {
		for _, m := range e.overlay.Lost() {
			e.sendHeartbeat(ctx, m.Control)
		}
	}
	if beat%randomProbeBeats == randomProbeBeats-1 {
		if to, ok := e.randomAddress(func(m kqmember.Member) bool { return m.State == kqmember.Dead }); ok {
			e.sendHeartbeat(ctx, to)
		}
		if len(e.contacts) > 0 {
			e.sendHeartbeat(ctx, e.contacts[rand.IntN(len(e.contacts))])
		}
		e.table.PruneDead(now.Add(-deadRetention), now)
	}
	e.client.CloseIdle(now.Add(-idleBeats * e.interval))
}

// detectFailures declares members suspect or dead by their missed heartbeats, and
// queues the changed records. A leaving member is declared dead without suspicion.
func (e *Synchronizer) detectFailures(neighbours []kqmember.Member, now time.Time) {
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
	e.detector.SetWatched(watched, now)
	e.detector.SetSuspects(suspects, now)
	verdicts := e.detector.Check(now)
	e.mu.Unlock()
	for _, v := range verdicts {
		m, ok := e.table.Find(v.Node)
		if !ok {
			continue
		}
		m.State = kqmember.Suspect
		if old, _ := e.table.Find(v.Node); v.Status == kqdetector.Dead || old.State == kqmember.Leaving {
			m.State = kqmember.Dead
		}
		if e.table.Declare(m) {
			e.enqueue(m)
		}
	}
}

// randomAddress returns the control address of a random other member that matches,
// and false if there is none.
func (e *Synchronizer) randomAddress(matches func(kqmember.Member) bool) (kqname.Address, bool) {
	self := e.table.Self().Node
	var list []kqname.Address
	for _, m := range e.table.Members() {
		if m.Node != self && matches(m) {
			list = append(list, m.Control)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	return list[rand.IntN(len(list))], true
}
