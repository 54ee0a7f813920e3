package kqnode

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqledger"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqowner"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	rolloutTick = 100 * time.Millisecond
	// tellEvery is how often an owner repeats its progress, for whoever missed
	// it or has just started.
	tellEvery = time.Second
	// settle is how long a node that has just met a plan listens before it may
	// step it without the platform.
	settle = 3 * time.Second
)

type (
	rollouts struct {
		node  *Node
		board *kqboard.Board
		owner *kqowner.Owner

		// told is when this node last told of a plan; only tick uses it.
		told map[kqplan.ID]time.Time
		// reported is the state that operators were last told of an order; only
		// work uses it.
		reported map[kqplan.ID]kqboard.State
		answered atomic.Int64
		relayed  relay
		settling *settling
	}
)

// joinRollouts joins the rollout flow: count, collect, weigh, step and tell.
func (n *Node) joinRollouts() *rollouts {
	self := kqledger.Source{Node: n.settings.Node.Name, Boot: uint64(n.started.UnixNano())}
	r := &rollouts{node: n, board: kqboard.New(self, n.table), told: make(map[kqplan.ID]time.Time), reported: make(map[kqplan.ID]kqboard.State), settling: newSettling()}
	r.owner = kqowner.New(n.settings.Node.Name, n.store, r.board)
	n.metrics.Registry().MustRegister(r.gauge())
	n.spreader.Subscribe(topicEvidence, r.hearEvidence)
	n.spreader.Subscribe(topicProgress, r.hearProgress)
	n.spreader.Subscribe(topicWorking, r.hearWorking)
	return r
}

// Rollouts returns the rollouts of the services that the node holds, and what
// the owners of others have told.
func (n *Node) Rollouts() []kqboard.Status {
	return n.rollouts.relayed.beside(n.rollouts.board.Statuses(time.Now()))
}

// Split implements kqentry.Splitter.
func (r *rollouts) Split(s kqresource.Service, _ *kqcall.Call) kqpick.Target {
	return r.board.Split(s, time.Now(), random{})
}

// Refuses implements kqgate.Guard.
func (r *rollouts) Refuses(s kqname.Service, v kqname.UpstreamVersion) bool {
	return r.board.Refuses(s, v)
}

// Observe implements kqgate.Observer.
func (r *rollouts) Observe(o kqgate.Observation) {
	var started, warm time.Time
	for _, u := range r.node.table.Self().Upstreams {
		if u.Service == o.Service && u.Version == o.Version {
			started, warm = u.Started, u.Warm
		}
	}
	r.board.Observe(o, started, warm)
}

func (r *rollouts) adopt(s *kqsnapshot.Snapshot) { r.board.Adopt(s.Services(), time.Now()) }

func (r *rollouts) run(ctx context.Context, keep func(part string, f func())) {
	keep("rollout", func() { every(ctx, rolloutTick, r.tick) })
	keep("rollout_work", func() { every(ctx, rolloutTick, func(now time.Time) { r.work(ctx, now) }) })
}

// tick weighs the evidence and, on plans that this node owns, decides.
func (r *rollouts) tick(now time.Time) {
	for _, v := range r.board.Views(now) {
		id := v.Plan.ID
		if r.collects(v) {
			r.board.Weigh(id, now)
		}
		if report, ok := r.board.Report(id, now); ok {
			r.report(v, evidenceMessage{id, report})
		}
		owner := r.owns(v, now)
		if owner {
			r.board.Step(id, now)
			r.board.Owned(id, r.node.settings.Node.Name, now)
		}
		text, changed := r.board.Event(id)
		if changed {
			r.node.logger.Part("rollout").WithFields(r.inputs(id, now)).Info(text)
		}
		// A node that has just met a plan tells that it knows nothing of it, and
		// those who know more answer.
		_, met := r.told[id]
		if changed || !met || owner && now.Sub(r.told[id]) >= tellEvery {
			r.told[id] = now
			r.tell(id, owner, now)
		}
		r.tellWorking(v, now)
	}
}

// inputs are what a plan's decisions rest on, as far as this node knows it.
func (r *rollouts) inputs(id kqplan.ID, now time.Time) logrus.Fields {
	s, _ := r.board.Status(id, now)
	return logrus.Fields{
		"rollout": s.Rollout, "step": s.Step, "owner": s.Owner,
		"old_calls": s.Evidence.OldCalls, "old_failed": s.Evidence.OldFailed,
		"new_calls": s.Evidence.NewCalls, "new_failed": s.Evidence.NewFailed,
		"nats": s.Evidence.Nats, "metric": s.Evidence.Metric, "where": s.Evidence.Where,
	}
}

// owns reports whether this node may step a plan: it holds the lease or, while
// the platform is away, it is the first by name of those that could.
func (r *rollouts) owns(v kqboard.View, now time.Time) bool {
	holds, down := r.owner.Holds(v.Plan.ID, now)
	if holds {
		return true
	}
	if !down || now.Sub(v.Seen) < settle {
		return false
	}
	self := r.node.settings.Node.Name
	if v.Owner != self && now.Sub(v.Heard) < kqowner.TTL {
		return false
	}
	return v.Owner == self || r.rank(v.Plan.Service) == 0
}

// rank returns how many live nodes beside upstreams of the service come before
// this one, or -1 where no upstream of it stands beside this node.
func (r *rollouts) rank(service kqname.Service) int {
	return slices.IndexFunc(r.beside(service), func(m kqmember.Member) bool {
		return m.Node == r.node.settings.Node.Name
	})
}

// beside returns the live nodes beside upstreams of the service, by name.
func (r *rollouts) beside(service kqname.Service) []kqmember.Member {
	var nodes []kqmember.Member
	for _, m := range r.node.table.Members() {
		if m.State == kqmember.Alive && slices.ContainsFunc(m.Upstreams, func(u kqmember.Upstream) bool { return u.Service == service }) {
			nodes = append(nodes, m)
		}
	}
	return nodes
}

// gone reports whether a node that owned a rollout has left or died, so that
// another need not wait for its lease to lapse.
func (r *rollouts) gone(owner kqname.Node) bool {
	m, ok := r.node.table.Find(owner)
	return ok && m.State >= kqmember.Leaving
}

// leave gives up the rollouts that this node owns, so that others may go on with
// them at once.
func (r *rollouts) leave(ctx context.Context) {
	for _, v := range r.board.Views(time.Now()) {
		if err := r.owner.Leave(ctx, v.Plan.ID); err != nil {
			r.node.logger.Part("rollout").WithError(err).Info("Lease was not given back; it lapses.")
		}
	}
}

// work does each plan's calls to the platform, in a goroutine of its own: the
// platform may be slow, and the reflex must not wait for it.
func (r *rollouts) work(ctx context.Context, now time.Time) {
	if r.node.leaving.Load() {
		return
	}
	for _, v := range r.board.Views(now) {
		rank := r.rank(v.Plan.Service)
		quiet := now.Sub(v.Heard) >= kqowner.TTL || v.Owner == r.node.settings.Node.Name || r.gone(v.Owner)
		candidate := rank >= 0 && quiet && now.Sub(v.Seen) >= time.Duration(min(rank, 20))*rolloutTick*3
		if err := r.owner.Work(ctx, v, candidate, now); err != nil {
			r.node.logger.Part("rollout").WithError(err).Debug("Platform did not settle.")
		}
		r.tellOperators(ctx, v, rank, now)
	}
}

func every(ctx context.Context, period time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}

type random struct{}

// Float64 implements kqshare.Random.
func (random) Float64() float64 { return rand.Float64() }
