package kqconnection

import "time"

// InterruptReads interrupts the reading of all connections, so that the server responds to
// callers whose request it has begun to read. Without it, a caller that is still sending
// when its node's drain time ends would get no response.
func (l *Listener) InterruptReads(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		// This fails only for connections closed in the meantime, which need no response.
		_ = c.SetReadDeadline(now)
	}
}

// DisablePipelining makes connections start no more requests before earlier ones have been
// answered. A server that shuts down closes each connection with the next response, so
// requests served behind it would get none.
func (l *Listener) DisablePipelining() { l.pipeliningDisabled.Store(true) }

// PipelinedCount returns the number of requests that have been started before earlier
// ones were answered, and have not become the current request or been discarded since.
func (l *Listener) PipelinedCount() int { return int(l.pipelined.Load()) }
