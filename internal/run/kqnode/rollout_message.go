package kqnode

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqspread"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqledger"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqplan"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqprogress"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	topicEvidence kqspread.Topic = "rollout.evidence"
	topicProgress kqspread.Topic = "rollout.progress"

	// answerEvery bounds how often a node answers peers that lack progress, and
	// answering how many nodes of a service do: were all to answer, each restart
	// would cost a message from every node to every node.
	answerEvery = time.Second
	answering   = 3
	// collecting is how many nodes of a service, beside the rollout's owner, get
	// and weigh its evidence. Were evidence to flood, each rollout would cost every node of
	// the fleet each gate's report, once a tick: ten gates of two routes some
	// 4 KB a second out of the 16 KB that a node has for all control.
	collecting = 5
	// maxRelayed bounds the rollouts of services that this node does not hold.
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
		// Owner tells that the sender owns the rollout. Status is then what
		// operators read of it, for nodes that do not hold its service.
		Owner  bool            `cbor:"3,keyasint,omitempty"`
		Status *kqboard.Status `cbor:"4,keyasint,omitempty"`
	}

	// relay keeps what owners told of rollouts, so that operators may ask any
	// node. It is safe for concurrent use.
	relay struct {
		mu   sync.Mutex
		held map[kqname.Rollout]kqboard.Status
	}

	// gauge counts the rollouts that a node holds by their state.
	gauge struct {
		rollouts *rollouts
		desc     *prometheus.Desc
	}
)

func (r *rollouts) tell(id kqplan.ID, owner bool, now time.Time) {
	p, ok := r.board.Progress(id)
	if !ok {
		return
	}
	m := progressMessage{Plan: id, Progress: p, Owner: owner}
	if owner {
		if s, ok := r.board.Status(id, now); ok {
			m.Status = &s
		}
	}
	r.publish(topicProgress, m)
}

// collects reports whether this node gets the evidence of all gates.
func (r *rollouts) collects(v kqboard.View) bool {
	rank := r.rank(v.Plan.Service)
	return rank >= 0 && rank < collecting || v.Owner == r.node.settings.Node.Name
}

// report sends this gate's evidence to the nodes that weigh it.
func (r *rollouts) report(v kqboard.View, m evidenceMessage) { r.send(v, collecting, topicEvidence, m) }

// send sends a message of a rollout to the first few nodes of its service, and to its
// owner.
func (r *rollouts) send(v kqboard.View, first int, topic kqspread.Topic, m any) {
	payload, err := cbor.Marshal(m)
	if err != nil {
		r.node.logger.Part("rollout").WithError(err).Warnf("Message %s cannot be encoded.", topic)
		return
	}
	var to []kqname.Address
	for i, n := range r.beside(v.Plan.Service) {
		if n.Node != r.node.settings.Node.Name && (i < first || n.Node == v.Owner) {
			to = append(to, n.Control)
		}
	}
	r.node.spreader.Send(context.Background(), topic, payload, to)
}

func (r *rollouts) hearEvidence(_ kqname.Node, payload []byte) {
	var m evidenceMessage
	if cbor.Unmarshal(payload, &m) == nil {
		r.board.Merge(m.Plan, m.Report)
	}
}

// hearProgress joins what a peer knows, and answers one that lacks something:
// a restarted node must not send to a version that was taken back.
func (r *rollouts) hearProgress(from kqname.Node, payload []byte) {
	var m progressMessage
	if cbor.Unmarshal(payload, &m) != nil {
		return
	}
	now := time.Now()
	if m.Status != nil {
		r.relayed.keep(*m.Status)
	}
	if m.Owner {
		r.board.Owned(m.Plan, from, now)
	}
	if _, stale := r.board.Join(m.Plan, m.Progress); stale {
		r.answer(m.Plan, now)
	}
}

func (r *rollouts) answer(id kqplan.ID, now time.Time) {
	s, ok := r.board.Status(id, now)
	if rank := r.rank(s.Service); !ok || rank < 0 || rank >= answering {
		return
	}
	last := r.answered.Load()
	if now.UnixNano()-last >= int64(answerEvery) && r.answered.CompareAndSwap(last, now.UnixNano()) {
		r.tell(id, false, now)
	}
}

// publish sends a message on its way. Every message tells the whole state, so
// that the next one makes up for one that is lost.
func (r *rollouts) publish(topic kqspread.Topic, message any) {
	payload, err := cbor.Marshal(message)
	if err != nil {
		r.node.logger.Part("rollout").WithError(err).Warn("Message cannot be encoded.")
		return
	}
	r.node.spreader.Publish(context.Background(), topic, payload)
}

func (l *relay) keep(s kqboard.Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil {
		l.held = make(map[kqname.Rollout]kqboard.Status)
	}
	if _, ok := l.held[s.Rollout]; ok || len(l.held) < maxRelayed {
		l.held[s.Rollout] = s
	}
}

// beside adds to a node's own rollouts those of services that it does not hold.
func (l *relay) beside(own []kqboard.Status) []kqboard.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, s := range l.held {
		if !slices.ContainsFunc(own, func(o kqboard.Status) bool { return o.Rollout == name }) {
			own = append(own, s)
		}
	}
	slices.SortFunc(own, kqboard.Compare)
	return own
}

func (r *rollouts) gauge() *gauge {
	return &gauge{rollouts: r, desc: prometheus.NewDesc("kumquatgw_rollouts", "Rollouts that this node holds, by state.", []string{"state"}, nil)}
}

// Describe implements prometheus.Collector.
func (g *gauge) Describe(out chan<- *prometheus.Desc) { out <- g.desc }

// Collect implements prometheus.Collector.
func (g *gauge) Collect(out chan<- prometheus.Metric) {
	counts := make(map[kqboard.State]int)
	for _, s := range g.rollouts.board.Statuses(time.Now()) {
		counts[s.State]++
	}
	for _, state := range []kqboard.State{kqboard.Pending, kqboard.Running, kqboard.Done, kqboard.TakenBack} {
		out <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, float64(counts[state]), string(state))
	}
}
