package kqdetector

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// Suspect means that a member has missed heartbeats and may refute the suspicion.
	Suspect Status = "suspect"
	// Dead means that a suspect has not refuted the suspicion in time.
	Dead Status = "dead"

	// defaultMissedHeartbeats is the number of missed heartbeats that make a suspect: at
	// 1% loss, a healthy member is suspected once in a million heartbeats.
	defaultMissedHeartbeats = 3
	// defaultRefuteHeartbeats is the time to refute a suspicion, in heartbeats. It allows
	// the suspicion to reach the suspect over 5 links and the refutation to return.
	defaultRefuteHeartbeats = 5
)

type (
	// Status is the state, Suspect or Dead, of a member that does not answer.
	Status string

	// Change is a member's new state, which the caller is to declare.
	Change struct {
		Node   kqname.Node
		Status Status
	}

	// Detector detects failed members by the time of their last heartbeat.
	//
	// It handles the loss of single servers and of failure domains. Without the
	// intermediate state Suspect, one lost packet or paused node would take a healthy
	// upstream out of service. Without the correction for its own pauses, a node that
	// resumes, or whose clock jumps ahead, would declare all others dead at once and
	// broadcast that.
	Detector struct {
		interval                           time.Duration
		missedHeartbeats, refuteHeartbeats int
		checkedAt                          time.Time
		lastSeen                           map[kqname.Node]time.Time
		suspectedAt                        map[kqname.Node]time.Time
	}
)

// New returns a Detector for heartbeats sent at the given interval.
func New(interval time.Duration) *Detector {
	return &Detector{
		interval: interval, missedHeartbeats: defaultMissedHeartbeats, refuteHeartbeats: defaultRefuteHeartbeats,
		lastSeen: make(map[kqname.Node]time.Time), suspectedAt: make(map[kqname.Node]time.Time),
	}
}

// RecordHeartbeat records a heartbeat or any other message of a member. It ignores members
// that are not watched.
func (d *Detector) RecordHeartbeat(n kqname.Node, now time.Time) {
	if _, ok := d.lastSeen[n]; ok {
		d.lastSeen[n] = now
	}
}

// SetWatched sets the members that this node sends heartbeats to and expects answers from.
func (d *Detector) SetWatched(nodes []kqname.Node, now time.Time) {
	for n := range d.lastSeen {
		if !slices.Contains(nodes, n) {
			delete(d.lastSeen, n)
		}
	}
	for _, n := range nodes {
		if _, ok := d.lastSeen[n]; !ok {
			d.lastSeen[n] = now
		}
	}
}

// SetSuspects sets the members that any node suspects. The time to refute starts when this
// node first learns of the suspicion.
func (d *Detector) SetSuspects(nodes []kqname.Node, now time.Time) {
	for n := range d.suspectedAt {
		if !slices.Contains(nodes, n) {
			delete(d.suspectedAt, n)
		}
	}
	for _, n := range nodes {
		if _, ok := d.suspectedAt[n]; !ok {
			d.suspectedAt[n] = now
		}
	}
}

// Check returns the watched members that have missed too many heartbeats and are not
// suspects yet, and the suspects that have not refuted the suspicion in time and so are
// dead. It must be called at every heartbeat. If more than two heartbeat intervals, or a
// negative time, have elapsed since the last call, this node was paused or its clock
// jumped: all recorded times are shifted by the elapsed time, so that no member is
// suspected because of it.
func (d *Detector) Check(now time.Time) []Change {
	if elapsed := now.Sub(d.checkedAt); !d.checkedAt.IsZero() && (elapsed > 2*d.interval || elapsed < 0) {
		d.shiftTimes(elapsed)
	}
	d.checkedAt = now
	var changes []Change
	for n, at := range d.suspectedAt {
		if now.Sub(at) > time.Duration(d.refuteHeartbeats)*d.interval {
			changes = append(changes, Change{n, Dead})
			delete(d.lastSeen, n)
		}
	}
	for n, at := range d.lastSeen {
		if _, already := d.suspectedAt[n]; !already && now.Sub(at) > time.Duration(d.missedHeartbeats)*d.interval {
			changes = append(changes, Change{n, Suspect})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Node, b.Node) })
	return changes
}

// shiftTimes moves all recorded times by the elapsed time.
func (d *Detector) shiftTimes(elapsed time.Duration) {
	for n, at := range d.lastSeen {
		d.lastSeen[n] = at.Add(elapsed)
	}
	for n, at := range d.suspectedAt {
		d.suspectedAt[n] = at.Add(elapsed)
	}
}
