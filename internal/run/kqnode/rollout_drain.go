package kqnode

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqbroadcast"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqtracker"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	topicInFlight kqbroadcast.Topic = "rollout.working"

	// doneSpreadTime is the time allowed for all nodes to learn that a rollout is done: its
	// owner publishes it within a tick, and the flood takes some tens of milliseconds.
	doneSpreadTime = 5 * rolloutTick
	// inFlightTTL is how long a gate's message that calls are in flight is valid. The message
	// is repeated each tick, and two in a row may be lost.
	inFlightTTL = 3 * rolloutTick
	// maxInFlightChecks bounds how long after a rollout is done a node checks for calls in
	// flight at the old version.
	maxInFlightChecks = 10 * time.Second
	// postDeadlineParts divides the time between an ordered rollout's deadline and the end
	// of its duration into equal parts: calls in flight are awaited for one, and two are left
	// for writing the state to the store.
	postDeadlineParts = 3
)

type (
	// oldVersionDrains tracks the calls in flight at old versions whose rollouts are done.
	// Operators who read that a rollout is done stop the old upstreams at once, which would
	// cut off every call there. It is safe for concurrent use.
	oldVersionDrains struct {
		mu sync.Mutex
		// doneSince is when this node first knew that a rollout was done, and lastInFlight
		// when it last learned of a call in flight at the old version.
		doneSince, lastInFlight map[kqplan.ID]time.Time
	}

	// inFlightMessage says that calls are in flight at the old version of a plan's rollout.
	inFlightMessage struct {
		Plan kqplan.ID `cbor:"1,keyasint"`
	}
)

func newOldVersionDrains() *oldVersionDrains {
	return &oldVersionDrains{doneSince: make(map[kqplan.ID]time.Time), lastInFlight: make(map[kqplan.ID]time.Time)}
}

// markDone records that the rollout is done, and returns when this node first knew it.
func (s *oldVersionDrains) markDone(id kqplan.ID, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.doneSince[id]; !ok {
		s.doneSince[id] = now
	}
	return s.doneSince[id]
}

// markInFlight records that a call is in flight at the rollout's old version.
func (s *oldVersionDrains) markInFlight(id kqplan.ID, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastInFlight[id] = now
}

// isOver reports whether no call is in flight at the old version of a rollout that is
// done, as far as this node knows, or the time to wait for such calls is over.
func (s *oldVersionDrains) isOver(p kqplan.Plan, now time.Time) bool {
	done := s.markDone(p.ID, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	reserve := p.Start.Add(p.Duration).Sub(p.Deadline)
	if !now.Before(p.Deadline.Add(reserve / postDeadlineParts)) {
		return true
	}
	return now.Sub(done) >= doneSpreadTime && now.Sub(s.lastInFlight[p.ID]) >= inFlightTTL
}

// sendInFlight notifies the nodes that report a finished rollout of calls in flight at its
// old version on this server.
func (r *rollouts) sendInFlight(v kqtracker.PlanSnapshot, now time.Time) {
	if r.node.adapter.Reports == nil || v.Plan.Duration == 0 || v.Progress.Final != kqprogress.Done {
		return
	}
	if now.Sub(r.oldVersionDrains.markDone(v.Plan.ID, now)) > maxInFlightChecks || !r.node.gate.HasCalls(v.Plan.Service, v.Plan.IsOld) {
		return
	}
	r.oldVersionDrains.markInFlight(v.Plan.ID, now)
	r.sendToService(v, reportingNodes, topicInFlight, inFlightMessage{v.Plan.ID})
}

func (r *rollouts) handleInFlight(_ kqname.Node, payload []byte) {
	var m inFlightMessage
	if cbor.Unmarshal(payload, &m) != nil {
		return
	}
	if _, known := r.tracker.Progress(m.Plan); known {
		r.oldVersionDrains.markInFlight(m.Plan, time.Now())
	}
}
