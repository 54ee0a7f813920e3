package kqentry

import (
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// hintTTL is how long a hint is kept. It only has to outlast the restart of a gate's process,
// between two calls to its upstream.
const hintTTL = 10 * time.Minute

type (
	// hints holds what other nodes' gates have told of their upstreams' conditions. It is
	// safe for concurrent use.
	hints struct {
		mu     sync.RWMutex
		byNode map[kqname.Node]heldHint
	}

	// heldHint is a hint and when it was heard last.
	heldHint struct {
		kqcall.Hint
		at time.Time
	}
)

// find returns the hint for a call to the node's gate, a zero one if there is none.
func (h *hints) find(to kqname.Node) kqcall.Hint {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.byNode[to].Hint
}

// update records the hint in the gate's response to a call that was sent at the given time.
// Without one, the hint that is held ends if the upstream answered the call and the hint is
// older: a gate that refuses a call may not have heard from its upstream yet.
func (h *hints) update(from kqname.Node, told kqcall.Hint, o kqcall.Outcome, sent, now time.Time) {
	if told.IsZero() && h.find(from).IsZero() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !told.IsZero():
		held := h.byNode[from]
		if held.Instance == told.Instance && held.StartedMS == told.StartedMS {
			// The responses may have overtaken each other, and no upstream comes back.
			told.Leaving = told.Leaving || held.Leaving
		}
		h.byNode[from] = heldHint{told, now}
	case o.Result == kqcall.Answered && sent.After(h.byNode[from].at):
		delete(h.byNode, from)
	}
}

// sweep forgets hints that have not been heard for hintTTL, since nodes come and go.
func (h *hints) sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for node, held := range h.byNode {
		if now.Sub(held.at) > hintTTL {
			delete(h.byNode, node)
		}
	}
}
