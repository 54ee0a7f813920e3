package kqowner_test

import (
	"context"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqledger"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqowner"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstandin"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

var start = time.Unix(10000, 0)

type (
	// clock is the time of all nodes and of the platform.
	clock struct{ now time.Time }

	upstreams []kqmember.Candidate

	// node is what decides on one server.
	node struct {
		board *kqboard.Board
		owner *kqowner.Owner
	}
)

func (u upstreams) Upstreams(kqname.Service) []kqmember.Candidate { return u }

func service(rollouts ...kqdocument.Rollout) map[kqname.Service]kqresource.Service {
	return map[kqname.Service]kqresource.Service{"shed": {
		Service:  kqdocument.Service{Name: "shed", Version: "v1"},
		Policies: []kqdocument.Policy{{Name: "first", Prefer: kqdocument.PreferFinishing}},
		Rollouts: rollouts,
	}}
}

func plan(name kqname.Rollout) kqdocument.Rollout {
	return kqdocument.Rollout{
		Name: name, Service: "shed", From: "v1", To: "v2", Policy: "first", Start: start, Deadline: start.Add(time.Minute),
	}
}

func newNode(name kqname.Node, platform *kqstandin.Standin, all map[kqname.Service]kqresource.Service) *node {
	b := kqboard.New(kqledger.Source{Node: name}, upstreams{
		{Upstream: kqmember.Upstream{Service: "shed", Version: "v1", Slots: 6}, Node: "a"},
		{Upstream: kqmember.Upstream{Service: "shed", Version: "v2", Slots: 6}, Node: "b"},
	})
	b.Adopt(all, start)
	return &node{board: b, owner: kqowner.New(name, platform, b)}
}

// work does one round on the platform and, where the node holds the lease, one
// decision.
func (n *node) work(now time.Time, step bool) {
	for _, v := range n.board.Views(now) {
		// A platform that is away is part of these tests.
		_ = n.owner.Work(context.Background(), v, true, now)
		if holds, _ := n.owner.Holds(v.Plan.ID, now); holds && step {
			n.board.Step(v.Plan.ID, now)
		}
	}
}

func (n *node) states(now time.Time) map[kqname.Rollout]kqboard.State {
	states := make(map[kqname.Rollout]kqboard.State)
	for _, s := range n.board.Statuses(now) {
		states[s.Rollout] = s.State
	}
	return states
}

func (n *node) view(t *testing.T) kqboard.View {
	t.Helper()
	for _, v := range n.board.Views(start.Add(time.Hour)) {
		if v.Plan.Name == "move" {
			return v
		}
	}
	t.Fatal("plan not known")
	return kqboard.View{}
}

func newPlatform(c *clock) *kqstandin.Standin {
	return kqstandin.New(kqstandin.WithNow(func() time.Time { return c.now }))
}

// An owner is paused in the middle of a move; its lease lapses and another node
// takes over. When the first wakes it still believes to be the owner, and both
// work on. Operators must read one state, whatever the two had in mind.
func TestPausedOwnerWakesBesideItsSuccessor(t *testing.T) {
	c := &clock{now: start}
	p := newPlatform(c)
	first, second := newNode("a", p, service(plan("move"))), newNode("b", p, service(plan("move")))
	first.work(c.now, true)
	first.work(c.now, true)
	id := first.view(t).Plan.ID
	if holds, _ := first.owner.Holds(id, c.now); !holds {
		t.Fatal("the first owner has no lease")
	}
	c.now = c.now.Add(2 * kqowner.TTL)
	if holds, _ := first.owner.Holds(id, c.now); holds {
		t.Error("an owner that was paused past its lease still steps")
	}
	second.work(c.now, true)
	if holds, _ := second.owner.Holds(id, c.now); !holds {
		t.Fatal("nobody took over")
	}
	if step := second.view(t).Progress.Step; step < 1 {
		t.Errorf("the successor begins at step %d, want the one that was stored", step)
	}
	// The first wakes and learns of evidence; the second finishes.
	first.board.Join(id, kqprogress.Progress{RolledBack: true, Why: "errors"})
	for range 90 {
		c.now = c.now.Add(time.Second)
		second.work(c.now, true)
		first.work(c.now, true)
	}
	agree(t, c.now, first, second)
}

// The write of the final state takes effect and its answer is lost. An owner
// that took this for a failure could write the other state next, and operators
// would read "done" and then "taken back".
func TestAnswerLostAfterTheFinalWrite(t *testing.T) {
	c := &clock{now: start}
	p := newPlatform(c)
	n, other := newNode("a", p, service(plan("move"))), newNode("b", p, service(plan("move")))
	for range 57 {
		n.work(c.now, true)
		c.now = c.now.Add(time.Second)
	}
	n.work(c.now, false)
	if n.view(t).Wish == kqprogress.Open {
		for n.view(t).Wish == kqprogress.Open && c.now.Before(start.Add(2*time.Minute)) {
			c.now = c.now.Add(time.Second)
			n.work(c.now, true)
		}
	}
	p.SetFaults(kqstandin.Faults{LoseAnswers: 4})
	n.work(c.now, true)
	n.board.Join(n.view(t).Plan.ID, kqprogress.Progress{RolledBack: true, Why: "errors"})
	for range 20 {
		c.now = c.now.Add(time.Second)
		n.work(c.now, true)
		other.work(c.now, true)
	}
	agree(t, c.now, n, other)
}

// The platform is away for the whole of a move's last part, over its deadline.
// The move's end can be stored only later, once, and until then nobody may be
// told that it is done.
func TestPlatformDownOverTheDeadline(t *testing.T) {
	c := &clock{now: start}
	p := newPlatform(c)
	n := newNode("a", p, service(plan("move")))
	for range 5 {
		n.work(c.now, true)
		c.now = c.now.Add(time.Second)
	}
	p.SetFaults(kqstandin.Faults{Down: true})
	id := n.view(t).Plan.ID
	for range 90 {
		c.now = c.now.Add(time.Second)
		n.work(c.now, true)
		n.board.Step(id, c.now)
	}
	if s := n.states(c.now)["move"]; s != kqboard.Running {
		t.Errorf("with the platform away the move is %q", s)
	}
	if step := n.view(t).Progress.Step; step != 4 {
		t.Errorf("steps stopped at %d", step)
	}
	p.SetFaults(kqstandin.Faults{})
	for range 10 {
		c.now = c.now.Add(time.Second)
		n.work(c.now, true)
	}
	if s := n.states(c.now)["move"]; s != kqboard.Done {
		t.Errorf("after the outage the move is %q", s)
	}
}

// An operator replaces a plan at the moment at which its move would have been
// done. The old plan and the new one are two moves; each must end once.
func TestOperatorReplacesThePlanAtItsEnd(t *testing.T) {
	for _, late := range []bool{false, true} {
		c := &clock{now: start}
		p := newPlatform(c)
		n, other := newNode("a", p, service(plan("move"))), newNode("b", p, service(plan("move")))
		for range 56 {
			n.work(c.now, true)
			c.now = c.now.Add(time.Second)
		}
		next := plan("next")
		next.Start, next.Deadline = start.Add(2*time.Minute), start.Add(3*time.Minute)
		if !late {
			n.board.Adopt(service(next), c.now)
		}
		c.now = c.now.Add(3 * time.Second)
		n.work(c.now, true)
		other.work(c.now, true)
		n.board.Adopt(service(next), c.now)
		for range 20 {
			c.now = c.now.Add(time.Second)
			n.work(c.now, true)
			other.work(c.now, true)
		}
		agree(t, c.now, n, other)
		if s := n.states(c.now)["next"]; s != kqboard.Pending {
			t.Errorf("the new plan is %q", s)
		}
	}
}

// A move is cancelled at its end by an operator, while its owner is about to
// finish it.
func TestOperatorCancelsAtTheEnd(t *testing.T) {
	c := &clock{now: start}
	p := newPlatform(c)
	n, other := newNode("a", p, service(plan("move"))), newNode("b", p, service(plan("move")))
	for range 59 {
		n.work(c.now, true)
		c.now = c.now.Add(time.Second)
	}
	cancelled := plan("move")
	cancelled.Cancelled = true
	other.board.Adopt(service(cancelled), c.now)
	other.board.Step(other.view(t).Plan.ID, c.now)
	for range 20 {
		c.now = c.now.Add(time.Second)
		other.work(c.now, true)
		n.work(c.now, true)
	}
	agree(t, c.now, n, other)
}

// agree checks that all nodes tell one and the same final state, and keep it.
func agree(t *testing.T, now time.Time, nodes ...*node) {
	t.Helper()
	first := nodes[0].states(now)["move"]
	if first != kqboard.Done && first != kqboard.TakenBack {
		t.Errorf("no final state: %q, %+v", first, nodes[0].view(t))
	}
	for _, n := range nodes {
		if s := n.states(now)["move"]; s != first {
			t.Errorf("one node tells %q, another %q", first, s)
		}
		n.board.Join(n.view(t).Plan.ID, kqprogress.Progress{Step: 4, RolledBack: true, Why: "late"})
		if s := n.states(now)["move"]; s != first {
			t.Errorf("a late message turned %q into %q", first, s)
		}
	}
}
