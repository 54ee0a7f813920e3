package kqslots_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqslots"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// BenchmarkEnterAndLeave measures two arrivals and one end at an upstream of 18 slots
// at twice its capacity.
func BenchmarkEnterAndLeave(b *testing.B) {
	for _, flows := range []int{87, 10000} {
		b.Run(fmt.Sprint(flows, " callers"), func(b *testing.B) {
			benchmarkFlows(b, flows, func(t *kqslots.Ticket, i int) { t.Caller = kqname.Caller(fmt.Sprint("c", i)) })
		})
		b.Run(fmt.Sprint(flows, " workspaces"), func(b *testing.B) {
			benchmarkFlows(b, flows, func(t *kqslots.Ticket, i int) { t.Workspace = kqname.Workspace(fmt.Sprint("w", i)) })
		})
	}
}

func benchmarkFlows(b *testing.B, flows int, name func(*kqslots.Ticket, int)) {
	const slots, work = 18, 345 * time.Millisecond
	s, now := kqslots.New(slots, 1, kqslots.WithFixedLimit()), time.Unix(1000, 0)
	tickets := make([]kqslots.Ticket, flows)
	for i := range tickets {
		name(&tickets[i], i)
		tickets[i].Route, tickets[i].Class = "r", "normal"
	}
	var running []*kqslots.Ticket
	next, mostWaiting := 0, 0
	b.ReportAllocs()
	for b.Loop() {
		// Two calls arrive for each that ends.
		now = now.Add(work / slots)
		for range 2 {
			t := &tickets[next%flows]
			next++
			if t.Verdict == kqslots.Run || t.Verdict == kqslots.Wait {
				continue
			}
			t.Deadline = now.Add(5 * time.Second)
			if s.Enter(t, now); t.Verdict == kqslots.Run {
				running = append(running, t)
			}
		}
		mostWaiting = max(mostWaiting, s.Load().Waiting)
		if len(running) < slots {
			continue
		}
		t := running[0]
		running = append(running[:0], running[1:]...)
		t.Verdict = 0
		for _, d := range s.Leave(t, work, now) {
			if d.Verdict == kqslots.Run {
				running = append(running, d)
			}
		}
	}
	b.ReportMetric(float64(mostWaiting), "most_waiting")
}
