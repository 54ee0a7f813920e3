package kqsoakrun

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqchild"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoakcheck"
)

const (
	// probeHost has a route for each of the last versions, which so tells callers
	// whether a node has that version or a later one.
	probeHost  = "version.example"
	probesKept = 60
	probeEvery = 25 * time.Millisecond
)

// seen is the newest version that a process of a node is known to have had.
type seen struct {
	process *kqchild.Child
	number  int
}

func probe(number int) route { return route{probeHost, fmt.Sprintf("/from-%d/", number), true} }

// probe asks nodes for routes of the newest version, and for those that they have had.
func (s *Soak) probe(ctx context.Context, c *caller) {
	known := make([]seen, len(s.nodes))
	for ctx.Err() == nil {
		i := c.random.IntN(len(s.nodes))
		process := s.nodes[i].process()
		if known[i].process != process {
			known[i] = seen{process: process}
		}
		s.versions.Lock()
		newest := s.versions.committed
		s.versions.Unlock()
		for _, number := range []int{newest, known[i].number} {
			if number == 0 || newest-number > probesKept/2 {
				continue
			}
			call, ok := c.ask(i, probe(number))
			switch {
			case !ok || s.nodes[i].process() != process || !call.AnswerRead:
			case call.Status == http.StatusOK:
				known[i].number = max(known[i].number, number)
			case call.Status == http.StatusNotFound && number <= known[i].number:
				s.checker.AddViolation(kqsoakcheck.FellBack, call.Ended, fmt.Sprintf("%s had version %d and does not know its route %v", s.nodes[i].name, number, call.WorkID))
			}
		}
		sleep(ctx, probeEvery)
	}
}
