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
	lookEvery    = 50 * time.Millisecond
	convergeWait = 14 * time.Second
)

type (
	// witness watches from outside which version each node applies: probe n
	// is answered by the versions that have it, and every later one has it.
	witness struct {
		crowd *crowd

		mu sync.Mutex
		// seen is the highest probe that each node has answered, and held the
		// highest version that it stated.
		seen     map[*entry]int
		held     map[*entry]kqname.ConfigVersion
		looks    int
		reverted []string
		samples  []time.Duration
		late     []string
	}
)

func newWitness(c *crowd) *witness {
	return &witness{crowd: c, seen: make(map[*entry]int), held: make(map[*entry]kqname.ConfigVersion)}
}

// run looks at every node again and again until ctx ends.
func (w *witness) run(ctx context.Context) {
	for ctx.Err() == nil {
		var group conc.WaitGroup
		for _, e := range w.crowd.entries() {
			group.Go(func() { w.look(e) })
		}
		group.Wait()
		select {
		case <-ctx.Done():
		case <-time.After(lookEvery):
		}
	}
}

// look asks a node for the newest route that it has ever answered.
func (w *witness) look(e *entry) {
	w.mu.Lock()
	w.looks++
	n := w.seen[e]
	if v := e.server.Node.Version(); v < w.held[e] {
		w.reverted = append(w.reverted, fmt.Sprintf("%s states version %d after %d", e.server.Spec.Node, v, w.held[e]))
	} else {
		w.held[e] = v
	}
	w.mu.Unlock()
	if n == 0 {
		return
	}
	if _, reason, _ := e.ask(probeHost, probePath(n)); reason == kqcall.NoRoute {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.reverted = append(w.reverted, fmt.Sprintf("%s lost route %s", e.server.Spec.Node, probePath(n)))
	}
}

// converge waits until every node answers probe n and adds, for each node, the
// time since began to the samples.
func (w *witness) converge(n int, began time.Time, counted bool) {
	var group conc.WaitGroup
	for _, e := range w.crowd.entries() {
		group.Go(func() {
			for !w.answers(e, n) && time.Since(began) < convergeWait && !e.killed.Load() {
				time.Sleep(pollEvery)
			}
			w.converged(e, n, time.Since(began), counted)
		})
	}
	group.Wait()
}

// answers reports whether a node applies a version that has probe n.
func (w *witness) answers(e *entry, n int) bool {
	result, _, service := e.ask(probeHost, probePath(n))
	return result == kqcall.Answered && (service == string(probeService) || service == "")
}

func (w *witness) converged(e *entry, n int, took time.Duration, counted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if took >= convergeWait {
		w.late = append(w.late, fmt.Sprintf("%s had not %s after %v", e.server.Spec.Node, probePath(n), convergeWait))
		return
	}
	w.seen[e] = max(w.seen[e], n)
	if counted {
		w.samples = append(w.samples, took)
	}
}
