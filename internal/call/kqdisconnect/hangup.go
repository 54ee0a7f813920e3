package kqdisconnect

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

const (
	probeInterval = 25 * time.Millisecond
	shards        = 16
)

type (
	// Watcher holds the calls in flight and probes their callers' connections. It is safe for
	// concurrent use.
	Watcher struct {
		shards [shards]shard
	}

	// WatchedCall is the connection of one call to its caller.
	WatchedCall struct {
		caller net.Conn
		probe  *Probe
		call   *kqcall.Cancel
		since  time.Time
		shard  *shard
		index  int
	}

	shard struct {
		mu    sync.Mutex
		lines []*WatchedCall
	}
)

// New returns a Watch without calls.
func New() *Watcher { return &Watcher{} }

// Track watches a caller's connection until End. The caller of Begin allocates the line.
func (w *Watcher) Track(l *WatchedCall, number uint64, caller net.Conn, call *kqcall.Cancel, now time.Time) {
	s := &w.shards[number%shards]
	*l = WatchedCall{caller: caller, call: call, since: now, shard: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	l.index = len(s.lines)
	s.lines = append(s.lines, l)
}

// Count returns how many calls are watched: those in flight at the entry and at the gate.
func (w *Watcher) Count() int {
	count := 0
	for i := range w.shards {
		w.shards[i].mu.Lock()
		count += len(w.shards[i].lines)
		w.shards[i].mu.Unlock()
	}
	return count
}

// Untrack stops watching the line's connection.
func (w *Watcher) Untrack(l *WatchedCall) {
	s := l.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.lines) - 1
	s.lines[l.index] = s.lines[last]
	s.lines[l.index].index = l.index
	s.lines[last] = nil
	s.lines = s.lines[:last]
}

// CancelAll cancels all calls in flight with the given reason.
func (w *Watcher) CancelAll(why kqcall.Reason) {
	for i := range w.shards {
		w.shards[i].cancel(why)
	}
}

func (s *shard) cancel(why kqcall.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lines {
		l.call.Trigger(why)
	}
}

// Run probes the connections periodically until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for i := range w.shards {
				w.shards[i].checkLines(now.Add(-probeInterval))
			}
		}
	}
}

// CheckCaller probes the line's connection now. Without it, a call whose caller disconnected since
// the last periodic probe could still leave the queue and run.
func (l *WatchedCall) CheckCaller() {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	l.check()
}

// checkLines probes the lines that began no later than before. It holds the lock meanwhile:
// a line that has ended must not be probed, since its connection may already serve another
// call.
func (s *shard) checkLines(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lines {
		if l.since.After(before) {
			continue
		}
		l.check()
	}
}

func (l *WatchedCall) check() {
	if l.probe == nil {
		l.probe = NewProbe(l.caller)
	}
	if closed, _ := l.probe.Peek(); closed {
		l.call.Trigger(kqcall.Cancelled)
	}
}
