package kqsoakcheck

import (
	"fmt"
	"slices"
	"time"
)

const (
	// limitWindow is the span over which calls are counted. It may hold limitFactor times
	// what the limit allows, and limitExtra calls more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// limitGrace is how long after its first limit an upstream may still get more calls, and
	// tellGrace how long after a node has passed on a limit its calls do not count.
	limitGrace = 3 * time.Second
	tellGrace  = 500 * time.Millisecond
	// staleGrace is how long after the answer that names no limit any more calls may still
	// be refused: the rate grows over some of that time.
	staleGrace = 6 * time.Second
)

// Told is what an answer says of the upstream that made it.
type Told struct {
	Upstream string `json:"upstream"`
	Limited  bool   `json:"limited"`
	Leaving  bool   `json:"leaving"`
}

// condition is what an upstream says of itself, and who has heard it.
type condition struct {
	service string
	limited bool
	limit   float64
	// namedAt is when the upstream began to name limits, and heardNone when a node first
	// passed on an answer without one after it had ceased to, 0 if none has yet.
	namedAt, heardNone time.Duration
	// toldLimit and toldLeaving hold when each node first passed on an answer with a limit,
	// or with the departure.
	toldLimit, toldLeaving map[int]time.Duration
	// runs holds when the calls of told nodes began.
	runs []time.Duration
}

// LimitNamed records that an upstream of a service names a limit, in calls a second.
func (ck *Checker) LimitNamed(upstream, service string, limit float64, at time.Duration) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	c := ck.conditionOf(upstream)
	c.service = service
	if !c.limited {
		c.namedAt, c.toldLimit, c.runs = at, make(map[int]time.Duration), nil
	}
	c.limited, c.limit = true, limit
}

// LimitEnded records that an upstream names no limit any more.
func (ck *Checker) LimitEnded(upstream string) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	c := ck.conditionOf(upstream)
	c.limited, c.heardNone = false, 0
}

// UpstreamGone records that an upstream has exited at the given time.
func (ck *Checker) UpstreamGone(upstream string, at time.Duration) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	if c, ok := ck.conditions[upstream]; ok {
		c.limited, c.heardNone = false, at
	}
}

// NodeRestarted records that a node's process ends and knows nothing of before when it starts.
func (ck *Checker) NodeRestarted(node int) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.forgetTold(node)
}

// forgetTold excuses a node from what it has passed on. The caller holds mu.
func (ck *Checker) forgetTold(node int) {
	for _, c := range ck.conditions {
		delete(c.toldLimit, node)
		delete(c.toldLeaving, node)
	}
}

// conditionOf returns the condition of an upstream. The caller holds mu.
func (ck *Checker) conditionOf(upstream string) *condition {
	c, ok := ck.conditions[upstream]
	if !ok {
		c = &condition{toldLimit: make(map[int]time.Duration), toldLeaving: make(map[int]time.Duration)}
		ck.conditions[upstream] = c
	}
	return c
}

// tellLocked records what the call's node has passed on of an upstream. The caller holds mu.
func (ck *Checker) tellLocked(call Call) {
	if call.Told.Upstream == "" {
		return
	}
	c := ck.conditionOf(call.Told.Upstream)
	if !call.Told.Limited && !c.limited && c.heardNone == 0 {
		c.heardNone = call.Ended
	}
	if _, told := c.toldLimit[call.Node]; call.Told.Limited && c.limited && !told {
		c.toldLimit[call.Node] = call.Ended
	}
	if _, told := c.toldLeaving[call.Node]; call.Told.Leaving && !told {
		c.toldLeaving[call.Node] = call.Ended
	}
}

// checkCondition checks a call that begins at an upstream against what the upstream has said.
// The caller holds mu.
func (ck *Checker) checkCondition(rec *callRecord, upstream string, at time.Duration) {
	c, ok := ck.conditions[upstream]
	if !ok {
		return
	}
	if toldAt, told := c.toldLeaving[rec.node]; told && rec.sent > toldAt+drainGrace {
		ck.addLocked(Late, at, fmt.Sprintf("a call sent %v after its node had passed on that %s leaves began there", rec.sent-toldAt, upstream), rec)
	}
	if toldAt, told := c.toldLimit[rec.node]; !c.limited || !told || at < toldAt+tellGrace {
		return
	}
	c.runs = append(slices.DeleteFunc(c.runs, func(began time.Duration) bool { return began <= at-limitWindow }), at)
	allowed := limitFactor*limitWindow.Seconds()*c.limit + limitExtra
	if at >= c.namedAt+limitGrace && float64(len(c.runs)) > allowed {
		ck.addLocked(OverLimit, at, fmt.Sprintf("%s, which names a limit of %v a second, got %d calls in %v; allowed %v", upstream, c.limit, len(c.runs), limitWindow, allowed), rec)
	}
}

// isLimitPossible reports whether a call sent at that time to a service, or to any for "", may
// be refused within a limit. The caller holds mu.
func (ck *Checker) isLimitPossible(service string, sent time.Duration) bool {
	for _, c := range ck.conditions {
		if service != "" && c.service != service {
			continue
		}
		if c.namedAt > 0 && (c.limited || c.heardNone == 0 || sent < c.heardNone+staleGrace) {
			return true
		}
	}
	return false
}
