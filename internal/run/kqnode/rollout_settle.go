package kqnode

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqspread"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	topicWorking kqspread.Topic = "rollout.working"

	// heardWithin is how long all nodes are given to hear that a rollout is done: its
	// owner tells within a tick, and the flood takes some tens of milliseconds.
	heardWithin = 5 * rolloutTick
	// workingFor is how long a gate's word that it is at work holds; it is said each
	// tick, and two in a row may be lost.
	workingFor = 3 * rolloutTick
	// settleMost bounds for how long a node looks for work at the old version.
	settleMost = 10 * time.Second
	// lateParts divides what an ordered rollout keeps between its deadline and the end
	// of its time: calls that are still at work are waited for in one part, and two
	// are left for telling the store.
	lateParts = 3
)

type (
	// settling follows what is left at work at old versions once their rollouts are
	// done. Operators who read that one is done stop the old upstreams at once, and
	// every call at work there would be cut. It is safe for concurrent use.
	settling struct {
		mu sync.Mutex
		// done is when this node first knew that a rollout was done, and working when
		// it last heard of a call at work at its old version.
		done, working map[kqplan.ID]time.Time
	}

	workingMessage struct {
		Plan kqplan.ID `cbor:"1,keyasint"`
	}
)

func newSettling() *settling {
	return &settling{done: make(map[kqplan.ID]time.Time), working: make(map[kqplan.ID]time.Time)}
}

// began notes that the rollout is done, and returns since when this node knows.
func (s *settling) began(id kqplan.ID, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.done[id]; !ok {
		s.done[id] = now
	}
	return s.done[id]
}

// work notes that a call is at work at the rollout's old version.
func (s *settling) work(id kqplan.ID, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.working[id] = now
}

// over reports whether nothing is at work at the old version of a rollout that is
// done, or the time to wait for it is up.
func (s *settling) over(p kqplan.Plan, now time.Time) bool {
	done := s.began(p.ID, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := p.Start.Add(p.Duration).Sub(p.Deadline)
	if !now.Before(p.Deadline.Add(kept / lateParts)) {
		return true
	}
	return now.Sub(done) >= heardWithin && now.Sub(s.working[p.ID]) >= workingFor
}

// tellWorking tells the nodes that report a rollout which is done that calls are at
// work at its old version beside this node.
func (r *rollouts) tellWorking(v kqboard.View, now time.Time) {
	if r.node.adapter.Reports == nil || v.Plan.Duration == 0 || v.Progress.Final != kqprogress.Done {
		return
	}
	if now.Sub(r.settling.began(v.Plan.ID, now)) > settleMost || !r.node.gate.Working(v.Plan.Service, v.Plan.Old) {
		return
	}
	r.settling.work(v.Plan.ID, now)
	r.send(v, reporters, topicWorking, workingMessage{v.Plan.ID})
}

func (r *rollouts) hearWorking(_ kqname.Node, payload []byte) {
	var m workingMessage
	if cbor.Unmarshal(payload, &m) != nil {
		return
	}
	if _, known := r.board.Progress(m.Plan); known {
		r.settling.work(m.Plan, time.Now())
	}
}
