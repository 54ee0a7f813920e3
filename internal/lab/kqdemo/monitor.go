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
	// node states, and by calls to the probe routes. Each commit of the script adds
	// a numbered probe route, which all later versions keep.
	monitor struct {
		targetPool *targetPool

		mu sync.Mutex
		// newestProbe is the highest number of a probe that each node has answered,
		// newestVersion the highest version that it has stated.
		newestProbe      map[*target]int
		newestVersion    map[*target]kqname.ConfigVersion
		checks           int
		regressions      []string
		convergenceTimes []time.Duration
		overdue          []string
	}
)

func newMonitor(p *targetPool) *monitor {
	return &monitor{targetPool: p, newestProbe: make(map[*target]int), newestVersion: make(map[*target]kqname.ConfigVersion)}
}

// run checks every node periodically until ctx ends.
func (m *monitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		var group conc.WaitGroup
		for _, t := range m.targetPool.targets() {
			group.Go(func() { m.check(t) })
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
func (m *monitor) check(t *target) {
	m.mu.Lock()
	m.checks++
	n := m.newestProbe[t]
	if v := t.server.Node.Version(); v < m.newestVersion[t] {
		m.regressions = append(m.regressions, fmt.Sprintf("%s states version %d after %d", t.server.Spec.Node, v, m.newestVersion[t]))
	} else {
		m.newestVersion[t] = v
	}
	m.mu.Unlock()
	if n == 0 {
		return
	}
	if _, reason, _ := t.sendUncounted(probeHost, probePath(n)); reason == kqcall.NoRoute {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.regressions = append(m.regressions, fmt.Sprintf("%s lost route %s", t.server.Spec.Node, probePath(n)))
	}
}

// awaitConvergence waits until every node answers probe n, is killed, or
// convergenceTimeout has passed. With counted set, each node's time since began
// is added to convergenceTimes. A node killed while the wait lasts is recorded as
// if it had answered.
func (m *monitor) awaitConvergence(n int, began time.Time, counted bool) {
	var group conc.WaitGroup
	for _, t := range m.targetPool.targets() {
		group.Go(func() {
			for !m.hasProbe(t, n) && time.Since(began) < convergenceTimeout && !t.killed.Load() {
				time.Sleep(pollInterval)
			}
			m.recordConvergence(t, n, time.Since(began), counted)
		})
	}
	group.Wait()
}

// hasProbe reports whether a node applies a version that has probe n. An answer
// without a body counts too: a bad upstream version fails calls without a body.
func (m *monitor) hasProbe(t *target, n int) bool {
	result, _, service := t.sendUncounted(probeHost, probePath(n))
	return result == kqcall.Answered && (service == string(probeService) || service == "")
}

// recordConvergence records the time that a node took to apply probe n, or that
// it was overdue.
func (m *monitor) recordConvergence(t *target, n int, took time.Duration, counted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if took >= convergenceTimeout {
		m.overdue = append(m.overdue, fmt.Sprintf("%s did not apply %s within %v", t.server.Spec.Node, probePath(n), convergenceTimeout))
		return
	}
	m.newestProbe[t] = max(m.newestProbe[t], n)
	if counted {
		m.convergenceTimes = append(m.convergenceTimes, took)
	}
}
