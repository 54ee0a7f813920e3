package kqdemo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	checkInterval      = 50 * time.Millisecond
	convergenceTimeout = 14 * time.Second
)

type (
	// monitor observes which version each node applies: by the version that the
	// node states, and by calls to the probe routes, as the version that adds
	// probe n and all later ones have a route for it.
	monitor struct {
		entryPool *entryPool

		mu sync.Mutex
		// newestProbe is the highest probe that each node has answered,
		// newestVersion the highest version that it has stated.
		newestProbe      map[*entry]int
		newestVersion    map[*entry]kqname.ConfigVersion
		checks           int
		regressions      []string
		convergenceTimes []time.Duration
		overdue          []string
	}
)

func newMonitor(p *entryPool) *monitor {
	return &monitor{entryPool: p, newestProbe: make(map[*entry]int), newestVersion: make(map[*entry]kqname.ConfigVersion)}
}

// run checks every node periodically until ctx ends.
func (m *monitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		var group conc.WaitGroup
		for _, e := range m.entryPool.entries() {
			group.Go(func() { m.check(e) })
		}
		group.Wait()
		select {
		case <-ctx.Done():
		case <-time.After(checkInterval):
		}
	}
}

// check records a regression if a node states an older version than before or
// no longer has the newest probe route that it has answered.
func (m *monitor) check(e *entry) {
	m.mu.Lock()
	m.checks++
	n := m.newestProbe[e]
	if v := e.server.Node.Version(); v < m.newestVersion[e] {
		m.regressions = append(m.regressions, fmt.Sprintf("%s states version %d after %d", e.server.Spec.Node, v, m.newestVersion[e]))
	} else {
		m.newestVersion[e] = v
	}
	m.mu.Unlock()
	if n == 0 {
		return
	}
	if _, reason, _ := e.sendUncounted(probeHost, probePath(n)); reason == kqcall.NoRoute {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.regressions = append(m.regressions, fmt.Sprintf("%s lost route %s", e.server.Spec.Node, probePath(n)))
	}
}

// awaitConvergence waits until every node answers probe n, is killed, or
// convergenceTimeout has passed. With counted set, each node's time since began
// is added to convergenceTimes.
func (m *monitor) awaitConvergence(n int, began time.Time, counted bool) {
	var group conc.WaitGroup
	for _, e := range m.entryPool.entries() {
		group.Go(func() {
			for !m.hasProbe(e, n) && time.Since(began) < convergenceTimeout && !e.killed.Load() {
				time.Sleep(pollInterval)
			}
			m.recordConvergence(e, n, time.Since(began), counted)
		})
	}
	group.Wait()
}

// hasProbe reports whether a node applies a version that has probe n. An answer
// without a body counts too: a bad upstream version fails calls without a body.
func (m *monitor) hasProbe(e *entry, n int) bool {
	result, _, service := e.sendUncounted(probeHost, probePath(n))
	return result == kqcall.Answered && (service == string(probeService) || service == "")
}

// recordConvergence records the time that a node took to apply probe n, or that
// it was overdue.
func (m *monitor) recordConvergence(e *entry, n int, took time.Duration, counted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if took >= convergenceTimeout {
		m.overdue = append(m.overdue, fmt.Sprintf("%s had not %s after %v", e.server.Spec.Node, probePath(n), convergenceTimeout))
		return
	}
	m.newestProbe[e] = max(m.newestProbe[e], n)
	if counted {
		m.convergenceTimes = append(m.convergenceTimes, took)
	}
}
