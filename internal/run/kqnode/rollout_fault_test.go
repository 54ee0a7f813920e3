package kqnode_test

import (
	"strings"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstandin"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// until polls until the condition holds on every server.
func (w *town) until(what string, holds func(s *kqfleet.Server) bool) {
	w.t.Helper()
	for end := time.Now().Add(rolloutPatience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		all := true
		for _, s := range w.Servers() {
			all = all && holds(s)
		}
		if all {
			return
		}
	}
	w.t.Fatalf("never: %s; last %+v", what, w.Servers()[0].Node.Rollouts())
}

func runs(servers []*kqfleet.Server) int {
	sum := 0
	for _, s := range servers {
		for _, n := range s.Upstream.Runs() {
			sum += n
		}
	}
	return sum
}

func share(s *kqfleet.Server) float64 {
	list := s.Node.Rollouts()
	if len(list) != 1 {
		return 0
	}
	return list[0].Share
}

// The server that owns the move is lost without a word in the middle of it. If
// nobody went on, the move would hang at the small share past its deadline.
func TestOwnerDiesInTheMiddle(t *testing.T) {
	t.Parallel()
	w := newTown(t, kqupstream.Behaviour{Work: 2 * time.Millisecond})
	w.commit(0, plan(time.Now(), 9*time.Second))
	w.ready()
	var owner kqname.Node
	w.until("an owner steps", func(s *kqfleet.Server) bool {
		list := s.Node.Rollouts()
		if len(list) == 1 && list[0].Owner != "" {
			owner = list[0].Owner
		}
		return share(s) > 0
	})
	for _, s := range w.Servers() {
		if s.Spec.Node == owner {
			s.Kill()
			w.lost = s
		}
	}
	if s := w.await(kqboard.Done); s.Owner == owner {
		t.Errorf("done by %s, which was lost", owner)
	}
}

// A version turns bad while the platform's service is away. Nobody can store
// that it is taken back, and callers must not wait for that: its traffic ends at
// once, and a server that restarts meanwhile does not begin with it again.
func TestBadVersionGetsNothingWhileThePlatformIsAway(t *testing.T) {
	t.Parallel()
	w := newTown(t, kqupstream.Behaviour{Work: 2 * time.Millisecond})
	w.commit(0, plan(time.Now(), 40*time.Second))
	w.load()
	w.until("the small share", func(s *kqfleet.Server) bool { return share(s) > 0 })
	w.Platform.SetFaults(kqstandin.Faults{Down: true})
	for _, s := range w.next {
		s.Upstream.SetBehaviour(kqupstream.Behaviour{Work: 2 * time.Millisecond, FailShare: 0.7})
	}
	w.until("no share", func(s *kqfleet.Server) bool { return share(s) == 0 })
	for _, s := range w.Servers() {
		if list := s.Node.Rollouts(); list[0].State != kqboard.Running {
			t.Errorf("%s tells %q before it is stored", s.Spec.Node, list[0].State)
		}
	}
	before := runs(w.next)
	again := w.Servers()[0]
	again.Stop()
	fresh, err := w.Restart(again)
	if err != nil {
		t.Fatal(err)
	}
	w.until("the restarted server knows that it gets nothing", func(*kqfleet.Server) bool {
		list := fresh.Node.Rollouts()
		return len(list) == 1 && strings.HasPrefix(list[0].Why, "no traffic any more")
	})
	if after := runs(w.next); after != before {
		t.Errorf("a version without a share ran %d more calls", after-before)
	}
	w.Platform.SetFaults(kqstandin.Faults{})
	w.await(kqboard.TakenBack)
}

// All servers of the new version are lost at once in the middle of a move, and
// some of the old ones. Callers must be served by what is left.
func TestNewUpstreamsDieInAHerd(t *testing.T) {
	t.Parallel()
	w := newTown(t, kqupstream.Behaviour{Work: 2 * time.Millisecond})
	// Long enough for the upstreams to be gone well before the move would end.
	w.commit(0, plan(time.Now(), 12*time.Second))
	w.load()
	w.until("a larger share", func(s *kqfleet.Server) bool { return share(s) > 0.2 })
	for _, s := range w.next {
		s.Upstream.Drain()
	}
	w.Servers()[2].Upstream.Drain()
	w.until("no new upstream is left", func(s *kqfleet.Server) bool { return s.Node.Version() > 0 })
	s := w.awaitEnd()
	if n := w.failed.Load(); n > 0 {
		t.Errorf("%d calls failed", n)
	}
	if s.State == kqboard.Done {
		t.Errorf("a version without an upstream is done: %+v", s)
	}
}

// A version answers ten times slower from its first call, and its upstreams have
// only just started. Were that put down to their start, callers would wait for
// most of a minute until the slowness counts.
func TestFarSlowerIsToldFromAColdStart(t *testing.T) {
	t.Parallel()
	w := newTown(t, kqupstream.Behaviour{Work: 30 * time.Millisecond})
	w.commit(0, plan(time.Now(), 90*time.Second))
	w.load()
	if s := w.await(kqboard.TakenBack); !strings.Contains(s.Why, "far slower than a cold start") {
		t.Errorf("taken back for another reason: %s", s.Why)
	}
}
