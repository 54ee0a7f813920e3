package kqnode

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqgate"
	"github.com/kumquatgw/kumquatgw/internal/config/kqresource"
	"github.com/kumquatgw/kumquatgw/internal/config/kqsnapshot"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqpick"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqledger"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqowner"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqtracker"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	rolloutTick = 100 * time.Millisecond
	// progressPeriod is how often an owner repeats its progress, for nodes that missed
	// it or have just started.
	progressPeriod = time.Second
	// offlineStepDelay is how long a node must have known a plan before it may step
	// the plan while its calls to the platform fail.
	offlineStepDelay = 3 * time.Second
)

type (
	// rollouts runs the rollouts of the services that a node holds, and connects their
	// tracker to the node's calls, its peers and the platform.
	rollouts struct {
		node    *Node
		tracker *kqtracker.Tracker
		owner   *kqowner.Owner

		// progressSentAt is when tick last published a plan's progress; only tick uses
		// it.
		progressSentAt map[kqplan.ID]time.Time
		// reportedStates holds the state of each order last reported to operators; only
		// syncPlatform uses it.
		reportedStates map[kqplan.ID]kqtracker.State
		// answers limits how often this node answers peers that lack progress.
		answers          *rate.Limiter
		relayed          statusRelay
		oldVersionDrains *oldVersionDrains
	}
)

// newRollouts assembles the rollout flow: count calls, collect and weigh evidence, step
// and publish.
func (n *Node) newRollouts() *rollouts {
	self := kqledger.Source{Node: n.settings.Node.Name, Boot: uint64(n.started.UnixNano())}
	r := &rollouts{node: n, tracker: kqtracker.New(self, n.table), progressSentAt: make(map[kqplan.ID]time.Time), reportedStates: make(map[kqplan.ID]kqtracker.State), answers: rate.NewLimiter(rate.Every(answerPeriod), 1), oldVersionDrains: newOldVersionDrains()}
	var options []kqowner.Option
	if n.initialState != nil {
		options = append(options, kqowner.WithInitial(n.initialState))
	}
	r.owner = kqowner.New(n.settings.Node.Name, n.started, n.store, r.tracker, options...)
	n.metrics.Registry().MustRegister(r.stateGauge())
	n.broadcaster.Subscribe(topicEvidence, r.handleEvidence)
	n.broadcaster.Subscribe(topicProgress, r.handleProgress)
	n.broadcaster.Subscribe(topicInFlight, r.handleInFlight)
	return r
}

// Rollouts returns the rollouts of the services that the node holds, and the last
// statuses that the owners of other rollouts published.
func (n *Node) Rollouts() []kqtracker.Status {
	return n.rollouts.relayed.mergeInto(n.rollouts.tracker.Statuses(time.Now()))
}

// Split implements kqentry.Splitter.
func (r *rollouts) Split(s kqresource.Service, _ *kqcall.Call) kqpick.Criteria {
	return r.tracker.Split(s, time.Now(), globalRandom{})
}

// Refuses implements kqgate.Guard.
func (r *rollouts) Refuses(s kqname.Service, v kqname.UpstreamVersion) bool {
	return r.tracker.Refuses(s, v)
}

// Observe implements kqgate.Observer.
func (r *rollouts) Observe(o kqgate.Observation) {
	var firstAnnounced, warm time.Time
	for _, u := range r.node.table.Self().Upstreams {
		if u.Service == o.Service && u.Version == o.Version {
			firstAnnounced, warm = u.FirstAnnounced, u.WarmFrom
		}
	}
	r.tracker.Observe(o, firstAnnounced, warm)
}

func (r *rollouts) adoptConfig(s *kqsnapshot.Snapshot) { r.tracker.Update(s.Services(), time.Now()) }

func (r *rollouts) run(ctx context.Context, supervise func(part string, f func())) {
	supervise("rollout", func() { runEvery(ctx, rolloutTick, r.tick) })
	supervise("rollout_work", func() { runEvery(ctx, rolloutTick, func(now time.Time) { r.syncPlatform(ctx, now) }) })
}

// tick reports this gate's evidence for each plan, weighs all gates' evidence for the plans
// whose evidence this node receives, steps the plans that it may step, and publishes their
// progress.
func (r *rollouts) tick(now time.Time) {
	for _, v := range r.tracker.PlanSnapshots(now) {
		id := v.Plan.ID
		if r.collectsEvidence(v) {
			r.tracker.Evaluate(id, now)
		}
		if report, ok := r.tracker.Report(id, now); ok {
			r.report(v, evidenceMessage{id, report})
		}
		owner := r.mayStep(v, now)
		if owner {
			r.tracker.Step(id, now)
			r.tracker.SetOwner(id, r.node.settings.Node.Name, now)
		}
		text, changed := r.tracker.Event(id)
		if changed {
			r.node.logger.Part("rollout").WithFields(r.decisionFields(id, now)).Info(text)
		}
		// A node that is new to a plan publishes its empty progress, and nodes that
		// know more answer.
		_, published := r.progressSentAt[id]
		if changed || !published || owner && now.Sub(r.progressSentAt[id]) >= progressPeriod {
			r.progressSentAt[id] = now
			r.publishProgress(id, owner, now)
		}
		r.sendInFlight(v, now)
	}
}

// decisionFields returns the log fields with the inputs of a plan's decisions, as far as
// this node knows them.
func (r *rollouts) decisionFields(id kqplan.ID, now time.Time) logrus.Fields {
	s, _ := r.tracker.Status(id, now)
	return logrus.Fields{
		"rollout": s.Rollout, "step": s.Step, "owner": s.Owner,
		"old_calls": s.Evidence.OldCalls, "old_failed": s.Evidence.OldFailed,
		"new_calls": s.Evidence.NewCalls, "new_failed": s.Evidence.NewFailed,
		"nats": s.Evidence.Nats, "metric": s.Evidence.Metric, "where": s.Evidence.Where,
	}
}

// mayStep reports whether this node may step a plan. It may if it holds the lease. While its
// calls to the platform fail, a node that has known the plan for offlineStepDelay may, too,
// if it was the last owner or, after kqowner.LeaseTTL without a message from another owner,
// if it is the first of the service's nodes by name.
func (r *rollouts) mayStep(v kqtracker.PlanSnapshot, now time.Time) bool {
	holds, syncFailed := r.owner.HoldsLease(v.Plan.ID, now)
	if holds {
		return true
	}
	if !syncFailed || now.Sub(v.KnownSince) < offlineStepDelay {
		return false
	}
	self := r.node.settings.Node.Name
	if v.Owner != self && now.Sub(v.OwnerSeen) < kqowner.LeaseTTL {
		return false
	}
	return v.Owner == self || r.rank(v.Plan.Service) == 0
}

// rank returns this node's position by name among the live nodes with a local upstream
// of the service, or -1 if it has none.
func (r *rollouts) rank(service kqname.Service) int {
	return slices.IndexFunc(r.serviceNodes(service), func(m kqmember.Member) bool {
		return m.Node == r.node.settings.Node.Name
	})
}

// serviceNodes returns the live nodes with a local upstream of the service, by name.
func (r *rollouts) serviceNodes(service kqname.Service) []kqmember.Member {
	var nodes []kqmember.Member
	for _, m := range r.node.table.Members() {
		if m.State == kqmember.Alive && slices.ContainsFunc(m.Upstreams, func(u kqmember.Upstream) bool { return u.Service == service }) {
			nodes = append(nodes, m)
		}
	}
	return nodes
}

// hasLeft reports whether a node that owned a rollout has left or died, so that another
// need not wait for its lease to expire.
func (r *rollouts) hasLeft(owner kqname.Node) bool {
	m, ok := r.node.table.Find(owner)
	return ok && m.State >= kqmember.Leaving
}

// releaseLeases gives up the rollouts that this node owns, so that other nodes can
// continue them at once.
func (r *rollouts) releaseLeases(ctx context.Context) {
	for _, v := range r.tracker.PlanSnapshots(time.Now()) {
		if err := r.owner.Release(ctx, v.Plan.ID); err != nil {
			r.node.logger.Part("rollout").WithError(err).Info("Lease was not released; it will expire.")
		}
	}
}

// syncPlatform makes each plan's calls to the platform. It runs in a goroutine of its own,
// because the platform may be slow and tick must not wait for it. A node is a candidate for
// a plan's lease if it has a local upstream of the service and no other node has announced
// itself as the owner within kqowner.LeaseTTL, or that owner has left. Nodes that are later
// by name become candidates later, so that not all request a new plan's lease at once.
func (r *rollouts) syncPlatform(ctx context.Context, now time.Time) {
	if r.node.leaving.Load() {
		return
	}
	for _, v := range r.tracker.PlanSnapshots(now) {
		rank := r.rank(v.Plan.Service)
		available := now.Sub(v.OwnerSeen) >= kqowner.LeaseTTL || v.Owner == r.node.settings.Node.Name || r.hasLeft(v.Owner)
		candidate := rank >= 0 && available && now.Sub(v.KnownSince) >= time.Duration(min(rank, 20))*rolloutTick*3
		if err := r.owner.Sync(ctx, v, candidate, now); err != nil {
			r.node.logger.Part("rollout").WithError(err).Debug("Platform calls for a rollout failed.")
		}
		r.reportOrderState(ctx, v, rank, now)
	}
}

func runEvery(ctx context.Context, period time.Duration, f func(now time.Time)) {
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

type globalRandom struct{}

// Float64 implements kqshare.Random.
func (globalRandom) Float64() float64 { return rand.Float64() }
