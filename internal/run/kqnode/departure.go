package kqnode

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqbroadcast"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqdeparture"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqdiscovery"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	topicDeparture kqbroadcast.Topic = "upstream.departure"
	// maxDepartureWait bounds the wait for other nodes before a departure is acknowledged to
	// the upstream, which gives up after a second.
	maxDepartureWait = 800 * time.Millisecond
)

// replicateDeparture replicates a departure before it is acknowledged, and logs who holds it
// then. If the upstream may be beside another node, all nodes are told.
func (n *Node) replicateDeparture(d kqdeparture.Departure, elsewhere bool, begun time.Time) {
	var confirmed <-chan struct{}
	if elsewhere {
		confirmed = n.publishDeparture(d)
	}
	heldBy := n.distribution.departures.Replicate(context.Background(), d)
	if confirmed != nil {
		awaitUntil(confirmed, begun.Add(maxDepartureWait))
	}
	n.metrics.DepartureAcknowledged(string(heldBy))
	n.logger.Part("upstream").WithFields(logrus.Fields{
		"event": "departed", "instance": d.Instance, "started_ms": d.StartedMS, "held_by": heldBy, "took_ms": time.Since(begun).Milliseconds(),
	}).Info("Upstream leaves.")
}

// publishDeparture tells all nodes of a departure. The channel that it returns is closed once
// they have confirmed it.
func (n *Node) publishDeparture(d kqdeparture.Departure) <-chan struct{} {
	payload, err := cbor.Marshal(d)
	if err != nil {
		n.logger.Part("upstream").WithError(err).Error("Departure cannot be encoded.")
		return nil
	}
	return n.broadcaster.PublishUrgent(context.Background(), topicDeparture, payload)
}

// handleDeparture applies a departure that another node was told of.
func (n *Node) handleDeparture(_ kqname.Node, payload []byte) {
	var d kqdeparture.Departure
	if err := cbor.Unmarshal(payload, &d); err != nil {
		n.logger.Part("upstream").WithError(err).Warn("Departure from a peer cannot be decoded.")
		return
	}
	n.pendingAnnouncements.remove(d.Instance)
	n.applyDepartures([]kqdeparture.Departure{d})
	n.recordUpstreams()
	n.gate.Sweep(time.Now())
}

// awaitUntil waits until done is closed, at the latest until end.
func awaitUntil(done <-chan struct{}, end time.Time) {
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// upstreamLeaves applies that a local upstream has said in its answers that it leaves, as if
// it had announced so. The answer does not wait until the store or peers hold the departure.
func (n *Node) upstreamLeaves(a kqlocal.Announcement, now time.Time) {
	n.local.Leave(a, now)
	n.recordUpstreams()
	n.gate.Sweep(now)
	if n.distribution.departures == nil || a.Instance == "" {
		return
	}
	departure := kqdeparture.Departure{Instance: a.Instance, StartedMS: a.StartedMS}
	if departure.StartedMS == 0 {
		// The start time is unknown; now is an upper bound.
		departure.StartedMS = now.UnixMilli()
	}
	n.distribution.departures.ReplicateInBackground(departure)
}

// learnDepartures applies the departures that were announced before this process started,
// and then the announcements held meanwhile. It only logs an invalid one, since its sender
// already has an answer. Departures that become known later, since the store did not answer,
// are applied to upstreams that are in use by then.
func (n *Node) learnDepartures(ctx context.Context) {
	n.applyDepartures(n.distribution.departures.Learn(ctx))
	for _, a := range n.pendingAnnouncements.release() {
		if err := n.local.Announce(a.Announcement, a.at); err != nil {
			n.logger.Part("upstream").WithError(err).Warn("Announcement refused.")
		}
	}
	n.recordUpstreams()
	n.recoverUpstreams(ctx)
	n.distribution.departures.LearnRemaining(ctx, func(list []kqdeparture.Departure) {
		n.applyDepartures(list)
		n.storeOwnDepartures(ctx, list)
		n.recordUpstreams()
		n.gate.Sweep(time.Now())
	})
}

// storeOwnDepartures writes the departures of this node's upstreams to the store, unless it
// holds them: the earlier process that was told may have been killed before the store answered,
// and peers hold a departure for a limited time and write none.
func (n *Node) storeOwnDepartures(ctx context.Context, list []kqdeparture.Departure) {
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	own, err := kqdiscovery.OwnUpstreams(ctx, n.initialState, n.settings.Node.Name)
	if err != nil {
		// The store does not answer, so that nothing can be written either.
		return
	}
	for _, d := range list {
		if slices.ContainsFunc(own, func(u kqdiscovery.Upstream) bool { return u.Instance == d.Instance && u.StartedMS <= d.StartedMS }) {
			n.distribution.departures.ReplicateInBackground(d)
		}
	}
}

func (n *Node) applyDepartures(list []kqdeparture.Departure) {
	now := time.Now()
	for _, d := range list {
		n.local.ApplyDeparture(d.Instance, d.StartedMS, now)
	}
}
