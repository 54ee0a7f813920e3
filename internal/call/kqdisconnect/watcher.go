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
	// shards is the number of parts, each with its own lock, that the watched calls are
	// divided into.
	shards = 16
)

type (
	// Watcher holds calls in flight and probes their callers' connections. The entry and
	// the gate remove a call before the body of a streamed response is passed on. It is
	// safe for concurrent use.
	Watcher struct {
		shards [shards]shard
	}

	// WatchedCall is one call with its caller's connection.
	WatchedCall struct {
		caller       net.Conn
		probe        *Probe
		cancellation *kqcall.Cancel
		since        time.Time
		shard        *shard
		index        int
	}

	shard struct {
		mu    sync.Mutex
		calls []*WatchedCall
	}
)

// New returns a Watcher without calls.
func New() *Watcher { return &Watcher{} }

// Track watches the caller's connection of a call until Untrack. The caller of Track
// allocates the WatchedCall. The call's number selects its shard.
func (w *Watcher) Track(c *WatchedCall, number uint64, caller net.Conn, cancellation *kqcall.Cancel, now time.Time) {
	s := &w.shards[number%shards]
	*c = WatchedCall{caller: caller, cancellation: cancellation, since: now, shard: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.index = len(s.calls)
	s.calls = append(s.calls, c)
}

// Count returns how many calls are watched at the entry and at the gate.
func (w *Watcher) Count() int {
	count := 0
	for i := range w.shards {
		w.shards[i].mu.Lock()
		count += len(w.shards[i].calls)
		w.shards[i].mu.Unlock()
	}
	return count
}

// Untrack stops watching the call's connection.
func (w *Watcher) Untrack(c *WatchedCall) {
	s := c.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.calls) - 1
	s.calls[c.index] = s.calls[last]
	s.calls[c.index].index = c.index
	s.calls[last] = nil
	s.calls = s.calls[:last]
}

// CancelAll cancels all watched calls with the given reason.
func (w *Watcher) CancelAll(reason kqcall.Reason) {
	for i := range w.shards {
		w.shards[i].cancel(reason)
	}
}

func (s *shard) cancel(reason kqcall.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.calls {
		c.cancellation.Trigger(reason)
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
				w.shards[i].checkCalls(now.Add(-probeInterval))
			}
		}
	}
}

// CheckCaller probes the caller's connection now and cancels the call if it is closed.
// Without it, a call whose caller disconnected since the last periodic probe could still
// leave the queue and run.
func (c *WatchedCall) CheckCaller() {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	c.check()
}

// checkCalls probes the connections of the calls that began no later than before. It holds
// the lock meanwhile: a call that has ended must not be probed, since its connection may
// already serve another call.
func (s *shard) checkCalls(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.calls {
		if c.since.After(before) {
			continue
		}
		c.check()
	}
}

func (c *WatchedCall) check() {
	if c.probe == nil {
		c.probe = NewProbe(c.caller)
	}
	if closed, _ := c.probe.Peek(); closed {
		c.cancellation.Trigger(kqcall.Cancelled)
	}
}
