package kqnode_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/config/kqcommit"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqfleet"
	"github.com/kumquatgw/kumquatgw/internal/lab/kqupstream"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const rolloutPatience = 20 * time.Second

// town is a small fleet of one service with an old and a new version.
type town struct {
	*kqfleet.Fleet
	t      *testing.T
	next   []*kqfleet.Server
	failed atomic.Int64
	// lost is a server that was killed.
	lost *kqfleet.Server
}

func newTown(t *testing.T, v2 kqupstream.Behaviour) *town {
	t.Helper()
	w := &town{Fleet: kqfleet.New(), t: t}
	t.Cleanup(func() { _ = w.Close() })
	for i := range 6 {
		spec := kqfleet.Spec{
			Node: kqname.Node(fmt.Sprintf("shed-%d", i)), Domain: "d1", Region: "r1", Service: "shed", Version: "v1", Slots: 6,
			Behaviour: kqupstream.Behaviour{Work: 2 * time.Millisecond}, Admin: i == 0,
		}
		if i >= 3 {
			spec.Version, spec.Behaviour = "v2", v2
		}
		s, err := w.Start(spec)
		if err != nil {
			t.Fatal(err)
		}
		if i >= 3 {
			w.next = append(w.next, s)
		}
	}
	return w
}

func (w *town) commit(base kqname.ConfigVersion, rollouts ...kqdocument.Rollout) {
	w.t.Helper()
	_, err := kqcommit.New(w.Platform).Commit(context.Background(), kqcommit.Request{
		ID: fmt.Sprintf("change-%d", base), Base: base, Author: "test", Reason: "test", At: time.Now(),
		Document: kqdocument.Document{
			Teams:    []kqdocument.Team{{Name: "team"}},
			Policies: []kqdocument.Policy{{Name: "first", Prefer: kqdocument.PreferFinishing}, {Name: "back", Prefer: kqdocument.PreferTakingBack}},
			Services: []kqdocument.Service{{Name: "shed", Team: "team", Version: "v1"}},
			Routes:   []kqdocument.Route{{Name: "shed", Team: "team", Host: "shed", PathPrefix: "/", Service: "shed"}},
			Rollouts: rollouts,
		},
	})
	if err != nil {
		w.t.Fatal(err)
	}
}

func plan(from time.Time, window time.Duration) kqdocument.Rollout {
	return kqdocument.Rollout{
		Name: "move", Team: "team", Service: "shed", From: "v1", To: "v2", Policy: "first",
		Start: from, Deadline: from.Add(window),
	}
}

// ready waits until all nodes have the configuration and know each other.
func (w *town) ready() {
	w.t.Helper()
	for _, s := range w.Servers() {
		for end := time.Now().Add(rolloutPatience); s.Node.Version() == 0 || len(s.Node.Members()) < len(w.Servers()); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				w.t.Fatalf("%s never got the configuration", s.Spec.Node)
			}
		}
	}
}

// load calls until the test ends, some 300 calls a second.
func (w *town) load() {
	w.t.Helper()
	w.ready()
	ctx, stop := context.WithCancel(context.Background())
	var group conc.WaitGroup
	w.t.Cleanup(func() { stop(); group.Wait() })
	for i := range 4 {
		group.Go(func() {
			ticker := time.NewTicker(12 * time.Millisecond)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
				req.SetRequestURI("http://" + string(w.Servers()[i].Node.EntryAddress()) + "/stock")
				req.Header.SetHost("shed")
				req.UseHostHeader = true
				if err := fasthttp.DoTimeout(req, resp, 5*time.Second); err != nil || resp.StatusCode() != fasthttp.StatusOK {
					w.failed.Add(1)
				}
			}
		})
	}
}

// awaitEnd waits until every node tells the same final state.
func (w *town) awaitEnd() kqboard.Status {
	w.t.Helper()
	return w.await(kqboard.Done, kqboard.TakenBack)
}

func (w *town) await(want ...kqboard.State) kqboard.Status {
	w.t.Helper()
	servers := slices.DeleteFunc(w.Servers(), func(s *kqfleet.Server) bool { return s == w.lost })
	var last []kqboard.Status
	for end := time.Now().Add(rolloutPatience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		agreed := 0
		first := servers[0].Node.Rollouts()
		for _, s := range servers {
			last = s.Node.Rollouts()
			if len(last) == 1 && slices.Contains(want, last[0].State) && len(first) == 1 && last[0].State == first[0].State {
				agreed++
			}
		}
		if agreed == len(servers) {
			return last[0]
		}
	}
	w.t.Fatalf("rollouts never all became %q; %d calls failed; last %+v", want, w.failed.Load(), last)
	return kqboard.Status{}
}

// A team starts a good new version beside the old one and gives a time by which
// the traffic is to be on it. If the move did not end by itself, operators would
// have to watch it, and the old version's servers would stay bound.
func TestGoodVersionGetsAllTraffic(t *testing.T) {
	t.Parallel()
	w := newTown(t, kqupstream.Behaviour{Work: 2 * time.Millisecond})
	w.commit(0, plan(time.Now().Add(time.Second), 5*time.Second))
	w.load()
	w.await(kqboard.Done)
	if n := w.failed.Load(); n > 0 {
		t.Errorf("%d calls failed in the course of a good move", n)
	}
	old, next := runs(w.Servers()[:3]), runs(w.next)
	for end := time.Now().Add(rolloutPatience); runs(w.next) < next+100 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
	}
	// Calls that were on their way when the move was done may still arrive.
	if more := runs(w.Servers()[:3]) - old; more > 10 {
		t.Errorf("the old version ran %d calls after the move was done", more)
	}
}

// A new version fails half of its calls. Callers notice for as long as it gets
// any, so the move must end by itself, on all nodes, with the old version.
func TestFailingVersionIsTakenBack(t *testing.T) {
	t.Parallel()
	w := newTown(t, kqupstream.Behaviour{Work: 2 * time.Millisecond, FailShare: 0.5})
	w.commit(0, plan(time.Now(), 30*time.Second))
	w.load()
	s := w.await(kqboard.TakenBack)
	if s.Share != 0 || s.Step > 1 {
		t.Errorf("taken back at step %d with share %v, want at the small share", s.Step, s.Share)
	}
}
