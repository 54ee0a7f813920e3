package kqsoakcheck

import (
	"fmt"
	"time"
)

// evacuationGrace is how long after its order a failure domain may still get calls.
const evacuationGrace = 5 * time.Second

// Evacuated records that a node's failure domain is evacuated by a committed document.
func (ck *Checker) Evacuated(node int, at time.Duration) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.evacuatedAt[node] = at
}

// EvacuationEnded records that a node's failure domain is about to be no longer evacuated.
func (ck *Checker) EvacuationEnded(node int) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	delete(ck.evacuatedAt, node)
}

// checkEvacuation checks a call that begins at a node's upstream. A fault at the node, or at the
// one that took the call, may have kept the document away from it. The caller holds mu.
func (ck *Checker) checkEvacuation(rec *callRecord, node int, at time.Duration) {
	evacuatedAt, ok := ck.evacuatedAt[node]
	if !ok || rec.sent <= evacuatedAt+evacuationGrace || ck.hadFault(node, evacuatedAt, at) || ck.hadFault(rec.node, evacuatedAt, at) || ck.hadFault(Store, evacuatedAt, at) {
		return
	}
	ck.addLocked(InEvacuated, at, fmt.Sprintf("a call sent %v after its failure domain was evacuated began at node %d", rec.sent-evacuatedAt, node), rec)
}
