package kqnode

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqbroadcast"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqledger"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqtracker"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	topicEvidence kqbroadcast.Topic = "rollout.evidence"
	topicProgress kqbroadcast.Topic = "rollout.progress"

	// answerPeriod bounds how often a node answers peers that lack progress, and
	// answeringNodes how many nodes of a service answer. If all did, each restart would
	// cost a message from every node to every node.
	answerPeriod   = time.Second
	answeringNodes = 3
	// collectingNodes is how many nodes of a service, besides the rollout's owner, receive
	// and weigh its evidence. If evidence were flooded, each rollout would cost every node
	// of the fleet each gate's report once a tick: ten gates that each report on two routes
	// cost some 4 KB/s of the 16 KB/s that a node has for all control traffic.
	collectingNodes = 5
	// maxRelayed bounds the statuses that a node keeps of the rollouts that other nodes
	// publish; those of further rollouts are ignored.
	maxRelayed = 1000
)

type (
	evidenceMessage struct {
		Plan   kqplan.ID       `cbor:"1,keyasint"`
		Report kqledger.Report `cbor:"2,keyasint"`
	}

	progressMessage struct {
		Plan     kqplan.ID           `cbor:"1,keyasint"`
		Progress kqprogress.Progress `cbor:"2,keyasint"`
		// Owner is true if the sender steps the rollout. Status then holds what operators
		// read of it, for nodes that do not hold its service.
		Owner  bool              `cbor:"3,keyasint,omitempty"`
		Status *kqtracker.Status `cbor:"4,keyasint,omitempty"`
	}

	// statusRelay keeps the rollout statuses that owners publish, so that operators can
	// query any node. It is safe for concurrent use.
	statusRelay struct {
		mu       sync.Mutex
		statuses map[kqname.Rollout]kqtracker.Status
	}

	// stateGauge counts the rollouts that a node holds, by state.
	stateGauge struct {
		rollouts *rollouts
		desc     *prometheus.Desc
	}
)

func (r *rollouts) publishProgress(id kqplan.ID, owner bool, now time.Time) {
	p, ok := r.tracker.Progress(id)
	if !ok {
		return
	}
	m := progressMessage{Plan: id, Progress: p, Owner: owner}
	if owner {
		if s, ok := r.tracker.Status(id, now); ok {
			m.Status = &s
		}
	}
	r.publish(topicProgress, m)
}

// collectsEvidence reports whether this node receives the evidence of all gates.
func (r *rollouts) collectsEvidence(v kqtracker.PlanSnapshot) bool {
	rank := r.rank(v.Plan.Service)
	return rank >= 0 && rank < collectingNodes || v.Owner == r.node.settings.Node.Name
}

// report sends this gate's evidence to the nodes that weigh it.
func (r *rollouts) report(v kqtracker.PlanSnapshot, m evidenceMessage) {
	r.sendToService(v, collectingNodes, topicEvidence, m)
}

// sendToService sends a message of a rollout to the first nodes of its service by name,
// and to its owner.
func (r *rollouts) sendToService(v kqtracker.PlanSnapshot, first int, topic kqbroadcast.Topic, m any) {
	payload, err := cbor.Marshal(m)
	if err != nil {
		r.node.logger.Part("rollout").WithError(err).Warnf("Cannot encode a message of topic %s.", topic)
		return
	}
	var to []kqname.Address
	for _, n := range r.recipients(v, first) {
		to = append(to, n.Control)
	}
	r.node.broadcaster.SendDirect(context.Background(), topic, payload, to)
}

// recipients returns the first nodes of a rollout's service by name and the rollout's owner,
// without this node. The owner may have no upstream of the service any more: it goes on
// stepping the rollout, and would do so without evidence.
func (r *rollouts) recipients(v kqtracker.PlanSnapshot, first int) []kqmember.Member {
	nodes := r.serviceNodes(v.Plan.Service)
	nodes = nodes[:min(first, len(nodes))]
	isOwner := func(m kqmember.Member) bool { return m.Node == v.Owner }
	if owner, ok := r.node.table.Find(v.Owner); ok && owner.State == kqmember.Alive && !slices.ContainsFunc(nodes, isOwner) {
		nodes = append(nodes, owner)
	}
	return slices.DeleteFunc(nodes, func(m kqmember.Member) bool { return m.Node == r.node.settings.Node.Name })
}

func (r *rollouts) handleEvidence(_ kqname.Node, payload []byte) {
	var m evidenceMessage
	if cbor.Unmarshal(payload, &m) == nil {
		r.tracker.Merge(m.Plan, m.Report)
	}
}

// handleProgress merges a peer's progress, and answers if the peer lacks some: a restarted
// node must not send calls to a version that was rolled back.
func (r *rollouts) handleProgress(from kqname.Node, payload []byte) {
	var m progressMessage
	if cbor.Unmarshal(payload, &m) != nil {
		return
	}
	now := time.Now()
	if m.Status != nil {
		r.relayed.store(*m.Status)
	}
	if m.Owner {
		r.tracker.SetOwner(m.Plan, from, now)
	}
	if _, stale := r.tracker.Join(m.Plan, m.Progress); stale {
		r.answerStale(m.Plan, now)
	}
}

// answerStale publishes a plan's progress for a peer that lacks some of it, if this node is
// among the answeringNodes of the service and has not answered within answerPeriod.
func (r *rollouts) answerStale(id kqplan.ID, now time.Time) {
	s, ok := r.tracker.Status(id, now)
	if rank := r.rank(s.Service); !ok || rank < 0 || rank >= answeringNodes {
		return
	}
	if r.answers.AllowN(now, 1) {
		r.publishProgress(id, false, now)
	}
}

// publish floods a message to all nodes. Each message holds the whole state, so that the
// next one makes up for a lost one.
func (r *rollouts) publish(topic kqbroadcast.Topic, message any) {
	payload, err := cbor.Marshal(message)
	if err != nil {
		r.node.logger.Part("rollout").WithError(err).Warn("Cannot encode a message.")
		return
	}
	r.node.broadcaster.Publish(context.Background(), topic, payload)
}

func (l *statusRelay) store(s kqtracker.Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.statuses == nil {
		l.statuses = make(map[kqname.Rollout]kqtracker.Status)
	}
	if _, ok := l.statuses[s.Rollout]; ok || len(l.statuses) < maxRelayed {
		l.statuses[s.Rollout] = s
	}
}

// mergeInto adds the relayed statuses of other rollouts to a node's own, and sorts them.
func (l *statusRelay) mergeInto(own []kqtracker.Status) []kqtracker.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, s := range l.statuses {
		if !slices.ContainsFunc(own, func(o kqtracker.Status) bool { return o.Rollout == name }) {
			own = append(own, s)
		}
	}
	slices.SortFunc(own, kqtracker.Compare)
	return own
}

func (r *rollouts) stateGauge() *stateGauge {
	return &stateGauge{rollouts: r, desc: prometheus.NewDesc("kumquatgw_rollouts", "Rollouts that this node holds, by state.", []string{"state"}, nil)}
}

// Describe implements prometheus.Collector.
func (g *stateGauge) Describe(out chan<- *prometheus.Desc) { out <- g.desc }

// Collect implements prometheus.Collector.
func (g *stateGauge) Collect(out chan<- prometheus.Metric) {
	counts := make(map[kqtracker.State]int)
	for _, s := range g.rollouts.tracker.Statuses(time.Now()) {
		counts[s.State]++
	}
	for _, state := range []kqtracker.State{kqtracker.Pending, kqtracker.Running, kqtracker.Done, kqtracker.FinalRollback} {
		out <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, float64(counts[state]), string(state))
	}
}
