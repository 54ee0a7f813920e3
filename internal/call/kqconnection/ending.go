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
