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
	// probeHost has a route for each of the latest probesKept documents. Whether a node
	// answers a document's route shows whether it has that document or a later one.
	probeHost     = "version.example"
	probesKept    = 60
	probeInterval = 25 * time.Millisecond
)

// knownDocument holds the number of the newest document that a process of a node is known
// to have had.
type knownDocument struct {
	process *kqchild.Child
	number  int
}

// probe returns the idempotent route that documents have from this number on, until
// probesKept newer documents exist.
func probe(number int) route {
	return route{probeHost, fmt.Sprintf("/from-%d/", number), true, services[0]}
}

// probe calls random nodes until ctx ends, each on the route of the newest committed
// document and on that of the newest document that its process is known to have had. It
// reports a node that went back to an older document.
func (s *Soak) probe(ctx context.Context, c *caller) {
	known := make([]knownDocument, len(s.nodes))
	for ctx.Err() == nil {
		i := c.random.IntN(len(s.nodes))
		process := s.nodes[i].process()
		if known[i].process != process {
			known[i] = knownDocument{process: process}
		}
		s.versions.Lock()
		newest := s.versions.committed
		s.versions.Unlock()
		for _, number := range []int{newest, known[i].number} {
			// Half of probesKept leaves a margin for documents that are committed during the
			// call: a 404 for a route that they drop would count as a regression.
			if number == 0 || newest-number > probesKept/2 {
				continue
			}
			call, ok := c.callNode(i, probe(number))
			switch {
			case !ok || s.nodes[i].process() != process || !call.AnswerRead:
			case call.Status == http.StatusOK:
				known[i].number = max(known[i].number, number)
			case call.Status == http.StatusNotFound && number <= known[i].number:
				s.checker.AddViolation(kqsoakcheck.VersionRegressed, call.Ended, fmt.Sprintf("%s had document %d but answered 404 on that document's route to call %v", s.nodes[i].name, number, call.WorkID))
			}
		}
		sleep(ctx, probeInterval)
	}
}
