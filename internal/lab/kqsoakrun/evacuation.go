package kqsoakrun

import (
	"context"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqsoak"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// evacuate evacuates the failure domain of the target for the fault's duration.
func (s *Soak) evacuate(ctx context.Context, n *node, f kqsoak.Fault) error {
	s.setEvacuated(n.domain(), true)
	if !s.commitUntilDone(ctx) {
		return nil
	}
	for _, other := range s.nodes {
		if other.domain() == n.domain() {
			s.checker.Evacuated(other.number, s.now())
		}
	}
	sleep(ctx, f.For)
	for _, other := range s.nodes {
		if other.domain() == n.domain() {
			s.checker.EvacuationEnded(other.number)
		}
	}
	s.setEvacuated(n.domain(), false)
	s.commitUntilDone(ctx)
	s.logEvent(event{Event: "fault ended", Target: n.name, Fault: &f})
	return nil
}

// setEvacuated adds the evacuation of a failure domain to later documents, or removes it.
func (s *Soak) setEvacuated(d kqname.Domain, evacuated bool) {
	s.versions.Lock()
	defer s.versions.Unlock()
	s.versions.evacuations = nil
	if evacuated {
		s.versions.evacuations = []kqdocument.Evacuation{{Name: d}}
	}
}

// commitUntilDone commits until a document is committed, since the store may be away, and
// reports false if ctx ends first.
func (s *Soak) commitUntilDone(ctx context.Context) bool {
	for {
		err := s.commit(ctx)
		if err == nil {
			return true
		}
		s.logEvent(event{Event: "not committed", Text: err.Error()})
		if !sleep(ctx, versionInterval) {
			return false
		}
	}
}
