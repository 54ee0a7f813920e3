package kqplacement

import (
	"slices"
	"time"
)

// count records an attempt.
func (m *model) count(c *call) {
	g := m.gates[c.upstream]
	for len(g.recent) > 0 && m.now-g.recent[0] >= herdWindow {
		g.recent = g.recent[1:]
	}
	g.recent = append(g.recent, m.now)
	if m.now < m.Warmup {
		return
	}
	m.result.Herd = max(m.result.Herd, len(g.recent))
	m.result.ByUpstream[c.upstream]++
	m.sent++
	crosses, e := c.upstream%m.Domains != c.entry%m.Domains, m.entries[c.entry]
	if crosses {
		m.crossed++
	}
	if crosses != e.crossed {
		m.switched++
	}
	e.crossed = crosses
}

// end records how a call ended.
func (m *model) end(c *call, answered bool) {
	if c.at < m.Warmup {
		return
	}
	m.result.Calls++
	if !answered {
		m.result.Refused++
		return
	}
	took := m.now - c.at
	m.took = append(m.took, took)
	if took <= Target {
		m.inTime++
	}
}

func (m *model) summary() Result {
	r := m.result
	slices.Sort(m.took)
	sum := time.Duration(0)
	for _, took := range m.took {
		sum += took
	}
	if n := len(m.took); n > 0 {
		r.Mean, r.P99 = sum/time.Duration(n), m.took[n*99/100]
	}
	r.InTime = float64(m.inTime) / float64(max(r.Calls, 1))
	r.Crossed = float64(m.crossed) / float64(max(m.sent, 1))
	r.Switched = float64(m.switched) / float64(max(m.sent, 1))
	return r
}

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at == e[j].at {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at < e[j].at
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) {
	// The heap holds events only.
	item, _ := x.(event)
	*e = append(*e, item)
}

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
