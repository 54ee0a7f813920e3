package kqconnection

import "time"

// EndReading has the connections stop waiting for what their callers still send: a
// server answers those whose request it has begun to read. Without it a caller that
// still sends when its node's time is over would have no answer.
func (l *Listener) EndReading(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.held {
		// A connection that is closed meanwhile has nobody to answer.
		_ = c.SetReadDeadline(now)
	}
}

// InOrder has no more requests served before their turn. A server that shuts down closes
// each connection with the next answer, and what is served behind it would have none.
func (l *Listener) InOrder() { l.stopping.Store(true) }

// Early returns how many requests are served before their turn, or wait with their
// answers for it.
func (l *Listener) Early() int { return int(l.early.Load()) }
