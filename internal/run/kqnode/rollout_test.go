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
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqtracker"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const rolloutTimeout = 20 * time.Second

// rolloutFleet is a fleet of one service, with three upstreams of an old version and three
// of a new one.
type rolloutFleet struct {
	*kqfleet.Fleet
	t *testing.T
	// newVersion holds the servers of the new version.
	newVersion []*kqfleet.Server
	failed     atomic.Int64
	// killed is a server that the test killed; await and awaitEnd ignore it.
	killed *kqfleet.Server
}

func newRolloutFleet(t *testing.T, newBehaviour kqupstream.Behaviour) *rolloutFleet {
	t.Helper()
	f := &rolloutFleet{Fleet: kqfleet.New(), t: t}
	t.Cleanup(func() { _ = f.Close() })
	for i := range 6 {
		spec := kqfleet.Spec{
			Node: kqname.Node(fmt.Sprintf("shed-%d", i)), Domain: "d1", Region: "r1", Service: "shed", Version: "v1", Slots: 6,
			Behaviour: kqupstream.Behaviour{Work: 2 * time.Millisecond}, Admin: i == 0,
		}
		if i >= 3 {
			spec.Version, spec.Behaviour = "v2", newBehaviour
		}
		s, err := f.Start(spec)
		if err != nil {
			t.Fatal(err)
		}
		if i >= 3 {
			f.newVersion = append(f.newVersion, s)
		}
	}
	return f
}

func (f *rolloutFleet) commit(base kqname.ConfigVersion, rollouts ...kqdocument.Rollout) {
	f.t.Helper()
	_, err := kqcommit.New(f.Platform).Commit(context.Background(), kqcommit.Request{
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
		f.t.Fatal(err)
	}
}

func rolloutPlan(from time.Time, window time.Duration) kqdocument.Rollout {
	return kqdocument.Rollout{
		Name: "move", Team: "team", Service: "shed", From: "v1", To: "v2", Policy: "first",
		Start: from, Deadline: from.Add(window),
	}
}

// awaitReady waits until all nodes have the configuration and know each other.
func (f *rolloutFleet) awaitReady() {
	f.t.Helper()
	for _, s := range f.Servers() {
		for end := time.Now().Add(rolloutTimeout); s.Node.Version() == 0 || len(s.Node.Members()) < len(f.Servers()); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				f.t.Fatalf("%s did not get the configuration and all members in time", s.Spec.Node)
			}
		}
	}
}

// startLoad makes some 300 calls a second until the test ends.
func (f *rolloutFleet) startLoad() {
	f.t.Helper()
	f.awaitReady()
	ctx, stop := context.WithCancel(context.Background())
	var group conc.WaitGroup
	f.t.Cleanup(func() { stop(); group.Wait() })
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
				req.SetRequestURI("http://" + string(f.Servers()[i].Node.EntryAddress()) + "/stock")
				req.Header.SetHost("shed")
				req.UseHostHeader = true
				if err := fasthttp.DoTimeout(req, resp, 5*time.Second); err != nil || resp.StatusCode() != fasthttp.StatusOK {
					f.failed.Add(1)
				}
			}
		})
	}
}

// awaitEnd waits until every node but the killed one reports the same final state.
func (f *rolloutFleet) awaitEnd() kqtracker.Status {
	f.t.Helper()
	return f.await(kqtracker.Done, kqtracker.FinalRollback)
}

// await waits until every node but the killed one reports the same state, one of want.
func (f *rolloutFleet) await(want ...kqtracker.State) kqtracker.Status {
	f.t.Helper()
	servers := slices.DeleteFunc(f.Servers(), func(s *kqfleet.Server) bool { return s == f.killed })
	var last []kqtracker.Status
	for end := time.Now().Add(rolloutTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
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
	f.t.Fatalf("not all nodes report the rollout as %q; %d calls failed; last %+v", want, f.failed.Load(), last)
	return kqtracker.Status{}
}

// A team starts a healthy new version next to the old one, with a deadline for moving the
// traffic. The rollout must finish by itself; otherwise operators would have to watch it,
// and the old version's servers would stay in use.
func TestGoodVersionGetsAllTraffic(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, kqupstream.Behaviour{Work: 2 * time.Millisecond})
	f.commit(0, rolloutPlan(time.Now().Add(time.Second), 5*time.Second))
	f.startLoad()
	f.await(kqtracker.Done)
	if n := f.failed.Load(); n > 0 {
		t.Errorf("%d calls failed during the rollout of a healthy version", n)
	}
	// Both are the numbers of calls run so far.
	oldVersion, newVersion := upstreamRuns(f.Servers()[:3]), upstreamRuns(f.newVersion)
	for end := time.Now().Add(rolloutTimeout); upstreamRuns(f.newVersion) < newVersion+100 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
	}
	// Calls in flight when the rollout was done may still arrive.
	if more := upstreamRuns(f.Servers()[:3]) - oldVersion; more > 10 {
		t.Errorf("the old version ran %d calls after the rollout was done", more)
	}
}

// A new version fails half of its calls. Callers see errors while it gets traffic, so the
// rollout must be rolled back automatically on all nodes, at its first step at the latest.
func TestFailingVersionIsTakenBack(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, kqupstream.Behaviour{Work: 2 * time.Millisecond, FailShare: 0.5})
	f.commit(0, rolloutPlan(time.Now(), 30*time.Second))
	f.startLoad()
	s := f.await(kqtracker.FinalRollback)
	if s.Share != 0 || s.Step > 1 {
		t.Errorf("rolled back at step %d with share %v, want step 1 at most and no share", s.Step, s.Share)
	}
}
