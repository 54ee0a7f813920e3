package kqhangup

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
)

const (
	every  = 25 * time.Millisecond
	shards = 16
)

type (
	// Watch looks after the calls under way. It is safe for concurrent use.
	Watch struct {
		shards [shards]shard
	}

	// Line is one call's connection to its caller.
	Line struct {
		caller net.Conn
		probe  *Probe
		call   *kqcall.Cancel
		since  time.Time
		shard  *shard
		index  int
	}

	shard struct {
		mu    sync.Mutex
		lines []*Line
	}
)

// New returns a watch without calls.
func New() *Watch { return &Watch{} }

// Begin watches a caller's connection until End. The line's memory is the
// caller's.
func (w *Watch) Begin(l *Line, number uint64, caller net.Conn, call *kqcall.Cancel, now time.Time) {
	s := &w.shards[number%shards]
	*l = Line{caller: caller, call: call, since: now, shard: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	l.index = len(s.lines)
	s.lines = append(s.lines, l)
}

// Count returns how many calls are watched: those under way at the entry and at the
// gate.
func (w *Watch) Count() int {
	count := 0
	for i := range w.shards {
		w.shards[i].mu.Lock()
		count += len(w.shards[i].lines)
		w.shards[i].mu.Unlock()
	}
	return count
}

// End stops watching.
func (w *Watch) End(l *Line) {
	s := l.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.lines) - 1
	s.lines[l.index] = s.lines[last]
	s.lines[l.index].index = l.index
	s.lines[last] = nil
	s.lines = s.lines[:last]
}

// Cancel cancels all calls under way and has them told why.
func (w *Watch) Cancel(why kqcall.Reason) {
	for i := range w.shards {
		w.shards[i].cancel(why)
	}
}

func (s *shard) cancel(why kqcall.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lines {
		l.call.Now(why)
	}
}

// Run looks at the connections until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for i := range w.shards {
				w.shards[i].sweep(now.Add(-every))
			}
		}
	}
}

// Look looks at the line's connection at once. Between two looks a call that has waited
// may have its turn though its caller has gone.
func (l *Line) Look() {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	l.look()
}

// sweep holds the lock while it looks: a line that ended must not be looked at,
// since its connection may serve another call by then.
func (s *shard) sweep(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lines {
		if l.since.After(before) {
			continue
		}
		l.look()
	}
}

func (l *Line) look() {
	if l.probe == nil {
		l.probe = NewProbe(l.caller)
	}
	if closed, _ := l.probe.Look(); closed {
		l.call.Now(kqcall.Cancelled)
	}
}
