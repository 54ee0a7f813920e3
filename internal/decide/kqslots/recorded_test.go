package kqslots_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqslots"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// recordedDecisions is the hash of all decisions on the load of randomDecisions, as the code
// without workspaces made them.
const recordedDecisions uint64 = 0x5a7893a7666c54d0

// randomDecisions plays 40,000 random steps of calls of all classes, nested and not, with and
// without target, with long jobs and 700 callers, more than kqfair has flows, and returns the
// hash of each ticket's verdicts, limits and refusals in the order in which they were decided.
func randomDecisions(s *kqslots.Slots) uint64 {
	random, now, hash := rand.New(rand.NewPCG(7, 7)), time.Unix(1000, 0), fnv.New64a()
	classes := []kqdocument.Class{"critical", "normal", "background"}
	var running []*kqslots.Ticket
	var waiting []*kqslots.Ticket
	ids := make(map[*kqslots.Ticket]int)
	record := func(t *kqslots.Ticket) {
		fmt.Fprintln(hash, ids[t], t.Verdict, t.ExpireAt.UnixNano(), t.Refusal.Reason, t.Refusal.RetryAfter)
		switch t.Verdict {
		case kqslots.Run:
			running = append(running, t)
		case kqslots.Wait:
			waiting = append(waiting, t)
		}
	}
	for step := range 40000 {
		// The rate rises and falls, so that queues fill and empty.
		now = now.Add(time.Duration(random.IntN(6+6*(step/5000%3))) * time.Millisecond)
		switch {
		case step%9001 == 9000:
			for _, t := range s.Resize(12+random.IntN(12), now) {
				record(t)
			}
		case random.IntN(100) < 3 && len(waiting) > 0:
			if t := waiting[random.IntN(len(waiting))]; s.Expire(t) {
				record(t)
			}
		case random.IntN(2) == 0 && len(running) > 0:
			i := random.IntN(len(running))
			t := running[i]
			running[i] = running[len(running)-1]
			running = running[:len(running)-1]
			took := time.Duration(1+random.IntN(200)) * time.Millisecond
			if t.Route == "job" {
				took = 40 * took
			}
			for _, decided := range s.Leave(t, took, now) {
				record(decided)
			}
		default:
			route := kqname.Route(fmt.Sprint("r", random.IntN(5)))
			if random.IntN(30) == 0 {
				route = "job"
			}
			caller := random.IntN(700)
			if random.IntN(3) == 0 {
				caller = 0
			}
			t := &kqslots.Ticket{
				Caller: kqname.Caller(fmt.Sprint(caller)), Route: route, Class: classes[random.IntN(3)], Nested: random.IntN(5) == 0,
				Deadline: now.Add(time.Duration(200+random.IntN(4000)) * time.Millisecond),
			}
			if random.IntN(2) == 0 {
				t.Target = now.Add(time.Duration(random.IntN(900)) * time.Millisecond)
			}
			ids[t] = step
			s.Enter(t, now)
			record(t)
			load := s.LoadFor(t, now)
			fmt.Fprintln(hash, load.Waiting, load.Wait)
		}
	}
	for _, t := range s.Close("draining") {
		record(t)
	}
	return hash.Sum64()
}

// Guards against a change of the decisions for calls without a workspace, which documents
// without workspaces rely on.
func TestCallsWithoutWorkspaceAreOrderedAsRecorded(t *testing.T) {
	if got := randomDecisions(kqslots.New(18, 3, kqslots.WithFixedLimit())); got != recordedDecisions {
		t.Errorf("the decisions' hash is %#x, want %#x", got, recordedDecisions)
	}
}
