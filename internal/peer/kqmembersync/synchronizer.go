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
	// callTimeout bounds a request to a peer.
	callTimeout = time.Second
	// compareBeats is the minimum time between two comparisons that differing hashes
	// cause, in heartbeat intervals.
	compareBeats = 2
	// probeBeats is the interval between probes of the dead members that would be
	// neighbours if they were alive, in heartbeats. Every randomProbeBeats heartbeats one
	// random dead member and one random seed are probed.
	probeBeats       = 4
	randomProbeBeats = 20
	// deadRetention is how long a dead member is kept and probed, so that a server which
	// returns within a day is found again even during an outage of the platform.
	deadRetention = 24 * time.Hour
	// startBeats is how many heartbeats a starting node sends in the time of one, for at
	// most maxStartBeats heartbeats. When a fleet starts, the first ones meet peers that do
	// not listen yet.
	startBeats, maxStartBeats = 5, 30
	// idleBeats is how long a connection may be idle before it is closed, in
	// heartbeats.
	idleBeats = 10
)

type (
	// Versions supplies and receives the configuration versions that heartbeats
	// exchange.
	Versions interface {
		// Newest returns the highest version whose root this node holds.
		Newest() kqname.ConfigVersion
		// VersionSeen is called with the newest version in each heartbeat of a member of
		// the table and in each answer to a heartbeat, and with the peer's address.
		VersionSeen(v kqname.ConfigVersion, from kqname.Address)
		// PeerAnswered is called with each member that sent or answered a heartbeat and the
		// newest version in it.
		PeerAnswered(n kqname.Node, v kqname.ConfigVersion)
		// Started reports whether the node has heard enough of peers' versions to serve.
		Started() bool
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

		mu       sync.Mutex
		seeds    []kqname.Address
		detector *kqdetector.Detector
		// busy holds the peers to which a heartbeat is in flight.
		busy         map[kqname.Address]bool
		lastCompared time.Time
		// queue holds the records to be flooded, the latest of each node.
		queue map[kqname.Node]kqmember.Member
		// links holds the neighbours to which updates are in flight.
		links map[kqname.Node]*link
		wake  chan struct{}
		// beatNow triggers heartbeats at once when a node has learned its first
		// members: a starting node would otherwise wait for the next tick before it
		// may serve.
		beatNow chan struct{}
	}
)

// New returns a synchronizer that registers its methods on server and sends through
// client, with a heartbeat to each neighbour per interval. The seeds are the control
// addresses of other nodes in the settings. All seeds get heartbeats while every known
// peer is dead or none is known. A random seed also gets one from time to time, so that
// two parts of a fleet that dropped each other join again.
func New(server *kqrpc.Server, client *kqrpc.Client, table *kqmember.Table, overlay *kqoverlay.Overlay,
	versions Versions, budget Budget, seeds []kqname.Address, interval time.Duration,
) *Synchronizer {
	s := &Synchronizer{
		client: client, table: table, overlay: overlay, versions: versions, budget: budget, interval: interval,
		seeds: seeds, detector: kqdetector.New(interval), busy: make(map[kqname.Address]bool),
		queue: make(map[kqname.Node]kqmember.Member), links: make(map[kqname.Node]*link), wake: make(chan struct{}, 1), beatNow: make(chan struct{}, 1),
	}
	self := table.Self().Node
	table.OnChange(func(m kqmember.Member) {
		if m.Node == self {
			s.enqueue(m)
		}
	})
	kqrpc.Handle(server, methodHeartbeat, s.answerHeartbeat)
	kqrpc.Handle(server, methodCompare, s.answerCompare)
	kqrpc.Handle(server, methodUpdates, s.mergeUpdates)
	return s
}

// Run sends heartbeats and floods changed records until ctx ends.
func (s *Synchronizer) Run(ctx context.Context) {
	defer s.group.Wait()
	supervisor := kqsupervisor.From(ctx)
	s.group.Go(func() { supervisor.RunWithRestart(ctx, "news", func() { s.floodQueue(ctx) }) })
	for beat := 0; ; beat++ {
		supervisor.RunRecovered("heartbeat", func() { s.tick(ctx, beat, time.Now()) })
		pause := s.interval
		if beat < maxStartBeats && !s.versions.Started() {
			pause /= startBeats
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-s.beatNow:
			timer.Stop()
		}
	}
}

// Probe sends a heartbeat to an address outside the table, such as that of a
// node found through the store.
func (s *Synchronizer) Probe(ctx context.Context, to kqname.Address) {
	if to != s.table.Self().Control {
		s.sendHeartbeat(ctx, to)
	}
}

// Introduce adds the records of nodes that are not members yet, and sends heartbeats to this
// node's neighbours at once if there was one. Records at incarnation 0 are not flooded; a
// node that does not answer is declared dead like any other.
func (s *Synchronizer) Introduce(_ context.Context, nodes []kqmember.Member) {
	added := false
	for _, m := range nodes {
		if _, known := s.table.Find(m.Node); !known {
			added = s.table.Merge(m) || added
		}
	}
	if !added {
		return
	}
	select {
	case s.beatNow <- struct{}{}:
	default:
	}
}

// PeerCount returns the number of peers that are not dead and whose record comes from them
// or from another peer.
func (s *Synchronizer) PeerCount() int {
	self, count := s.table.Self().Node, 0
	for _, m := range s.table.Members() {
		if m.Node != self && m.State != kqmember.Dead && m.Incarnation > 0 {
			count++
		}
	}
	return count
}

// FlushUpdates sends all queued records to the neighbours at once, whatever the budget,
// and returns when each has received them or has failed. A leaving node uses it, since
// it cannot wait for the next flood.
func (s *Synchronizer) FlushUpdates(ctx context.Context) { s.send(ctx, s.dequeue(maxQueue)) }

// tick detects failures and sends the heartbeats that are due on a beat: to all
// neighbours, to a random member that is not dead or, if there is none, to all seeds,
// and to the dead members and the seed to be probed. It also prunes dead members and
// closes idle connections.
func (s *Synchronizer) tick(ctx context.Context, beat int, now time.Time) {
	neighbours := s.overlay.Neighbours()
	s.detectFailures(neighbours, now)
	for _, m := range neighbours {
		s.sendHeartbeat(ctx, m.Control)
	}
	if to, ok := s.randomAddress(func(m kqmember.Member) bool { return m.State != kqmember.Dead }); ok {
		s.sendHeartbeat(ctx, to)
	} else {
		for _, to := range s.seeds {
			s.sendHeartbeat(ctx, to)
		}
	}
	if beat%probeBeats == probeBeats-1 {
		for _, m := range s.overlay.DeadNeighbours() {
			s.sendHeartbeat(ctx, m.Control)
		}
	}
	if beat%randomProbeBeats == randomProbeBeats-1 {
		if to, ok := s.randomAddress(func(m kqmember.Member) bool { return m.State == kqmember.Dead }); ok {
			s.sendHeartbeat(ctx, to)
		}
		if len(s.seeds) > 0 {
			s.sendHeartbeat(ctx, s.seeds[rand.IntN(len(s.seeds))])
		}
		s.table.PruneDead(now.Add(-deadRetention), now)
	}
	s.client.CloseIdle(now.Add(-idleBeats * s.interval))
}

// detectFailures declares members suspect or dead by their missed heartbeats, and
// queues the changed records. A leaving member is declared dead without suspicion.
func (s *Synchronizer) detectFailures(neighbours []kqmember.Member, now time.Time) {
	var watched, suspects []kqname.Node
	for _, m := range neighbours {
		watched = append(watched, m.Node)
	}
	for _, m := range s.table.Members() {
		if m.State == kqmember.Suspect {
			suspects = append(suspects, m.Node)
		}
	}
	s.mu.Lock()
	s.detector.SetWatched(watched, now)
	s.detector.SetSuspects(suspects, now)
	changes := s.detector.Check(now)
	s.mu.Unlock()
	for _, c := range changes {
		m, ok := s.table.Find(c.Node)
		if !ok {
			continue
		}
		m.State = kqmember.Suspect
		if old, _ := s.table.Find(c.Node); c.Status == kqdetector.Dead || old.State == kqmember.Leaving {
			m.State = kqmember.Dead
		}
		if s.table.Declare(m) {
			s.enqueue(m)
		}
	}
}

// randomAddress returns the control address of a random other member that matches,
// and false if there is none.
func (s *Synchronizer) randomAddress(matches func(kqmember.Member) bool) (kqname.Address, bool) {
	self := s.table.Self().Node
	var list []kqname.Address
	for _, m := range s.table.Members() {
		if m.Node != self && matches(m) {
			list = append(list, m.Control)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	return list[rand.IntN(len(list))], true
}
