package kqnode

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqdeparture"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqdiscovery"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// recoverTimeout bounds the wait for the read of the store that the departures were learned
// from.
const recoverTimeout = 300 * time.Millisecond

type (
	// pendingAnnouncements holds announcements until a starting node has learned which
	// upstreams left before it started. It is safe for concurrent use.
	pendingAnnouncements struct {
		mu              sync.Mutex
		departuresKnown bool
		byInstance      map[kqname.Instance]pending
	}

	// pending holds the first and the latest announcement of an upstream's start.
	pending struct{ first, latest arrival }

	// arrival is an announcement with the time at which it arrived.
	arrival struct {
		kqlocal.Announcement
		at time.Time
	}
)

// serveAnnouncement serves an announcement in the platform's own format. It refuses one
// that cannot be parsed, that announce refuses, or that names another service and is not
// Gone. It answers 404 to any other request.
func (n *Node) serveAnnouncement(ctx *fasthttp.RequestCtx) {
	if ctx.Request.IsBodyStream() {
		refuseLargeAnnouncement(ctx)
		return
	}
	a, ok, err := n.adapter.Announcements.Read(string(ctx.Request.Header.RequestURI()), ctx.PostBody())
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if err == nil && !a.Gone && a.Service != n.settings.Node.Service {
		err = fmt.Errorf("announcement for service %.64q: %w", string(a.Service), kqlocal.ErrInvalidAnnouncement)
	}
	if err == nil {
		err = n.announce(a)
	}
	if err != nil {
		n.logger.Part("upstream").WithError(err).Warn("Announcement refused.")
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString("{}")
}

// announce applies an announcement and refuses an invalid one, or holds it unchecked until
// earlier departures are known. An announcement with Gone or Draining is a departure: it
// takes effect before the upstream gets its answer, and the answer also waits, for a limited
// time, until the store holds it or, if the store does not answer, peers do.
func (n *Node) announce(a kqlocal.Announcement) error {
	now := time.Now()
	leaves, elsewhere := a.Gone || a.Draining, false
	if !leaves && n.pendingAnnouncements.hold(a, now) {
		return nil
	}
	if leaves {
		// An earlier announcement must not take effect after the departure.
		held := n.pendingAnnouncements.remove(a.Instance)
		elsewhere = a.Gone && held.Instance == "" && !n.local.Knows(a.Instance)
		if a.StartedMS == 0 {
			a.StartedMS = max(held.StartedMS, n.local.StartedMS(a.Instance))
		}
		if a.StartedMS == 0 {
			// The start time is unknown; now is an upper bound.
			a.StartedMS = now.UnixMilli()
		}
		// A departure of a start to come would end all later starts of the upstream.
		a.StartedMS = min(a.StartedMS, now.Add(kqlocal.MaxClockLead).UnixMilli())
	}
	if err := n.local.Announce(a, now); err != nil {
		return err
	}
	n.recordUpstreams()
	if leaves {
		n.gate.Sweep(now)
		if n.distribution.departures != nil {
			n.replicateDeparture(kqdeparture.Departure{Instance: a.Instance, StartedMS: a.StartedMS}, elsewhere, now)
		}
	}
	return nil
}

// recordUpstreams lists the local upstreams in the node's entry in the store, for the process
// that runs after this one. Before all live upstreams have had the time to announce
// themselves, it leaves what an earlier process has listed if there are none.
func (n *Node) recordUpstreams() {
	d := n.distribution.discovery
	if d == nil {
		return
	}
	if time.Since(n.started) > n.recoveredTTL() {
		d.SetAllUpstreams(n.listedUpstreams())
		return
	}
	d.SetUpstreams(n.listedUpstreams())
}

// listedUpstreams returns the local upstreams that a later process may recover.
func (n *Node) listedUpstreams() []kqdiscovery.Upstream {
	var list []kqdiscovery.Upstream
	for _, a := range n.local.Announcements() {
		if a.Instance != "" {
			list = append(list, kqdiscovery.Upstream{Service: a.Service, Version: a.Version, Address: a.Address, Slots: a.Slots, Instance: a.Instance, StartedMS: a.StartedMS})
		}
	}
	return list
}

// recoveredTTL returns for how long after the start an upstream that an earlier process has
// listed is used without an announcement of its own. In one and a half intervals each live
// upstream has announced itself, even if one announcement is half an interval late.
func (n *Node) recoveredTTL() time.Duration { return n.settings.Member.AnnounceInterval * 3 / 2 }

// recoverUpstreams registers the upstreams that an earlier process of this node has listed.
// Without this, a fleet that restarts would have no upstream until they announce themselves
// again. An upstream that has left does not; all who knew of its departure may have been
// killed, so that silence alone tells it from a live one.
func (n *Node) recoverUpstreams(ctx context.Context) {
	if time.Since(n.started) > n.recoveredTTL() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	list, err := kqdiscovery.OwnUpstreams(ctx, n.initialState, n.settings.Node.Name)
	if err != nil {
		n.logger.Part("upstream").WithError(err).Info("Earlier upstreams are unknown.")
		return
	}
	for _, u := range list {
		a := kqlocal.Announcement{Service: u.Service, Version: u.Version, Address: u.Address, Slots: u.Slots, Instance: u.Instance, StartedMS: u.StartedMS}
		// Upstreams could announce themselves from the start on.
		if err := n.local.Recover(a, n.started); err != nil {
			n.logger.Part("upstream").WithError(err).Warn("Earlier upstream refused.")
			continue
		}
		n.logger.Part("upstream").WithFields(logrus.Fields{"event": "recovered", "instance": u.Instance, "service": u.Service, "started_ms": u.StartedMS}).Info("Earlier upstream is used until it announces itself.")
	}
}

// sweepUpstreams removes the local upstreams that no longer announce themselves, also from
// the node's entry in the store.
func (n *Node) sweepUpstreams(now time.Time) {
	defer n.recordUpstreams()
	for _, a := range n.local.Sweep(now) {
		n.logger.Part("upstream").WithFields(logrus.Fields{"event": "expired", "instance": a.Instance, "service": a.Service, "started_ms": a.StartedMS}).Info("Upstream no longer announces itself.")
	}
}

// hold holds an announcement unless earlier departures are known, and reports whether it
// did.
func (p *pendingAnnouncements) hold(a kqlocal.Announcement, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.departuresKnown {
		return false
	}
	if p.byInstance == nil {
		p.byInstance = make(map[kqname.Instance]pending)
	}
	held, ok := p.byInstance[a.Instance]
	held.latest = arrival{a, now}
	if !ok || held.first.StartedMS != a.StartedMS || held.first.Address != a.Address {
		held.first = held.latest
	}
	p.byInstance[a.Instance] = held
	return true
}

// remove removes and returns the held announcement of an upstream.
func (p *pendingAnnouncements) remove(instance kqname.Instance) kqlocal.Announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.byInstance[instance]
	delete(p.byInstance, instance)
	return held.latest.Announcement
}

// release returns the held announcements, those of one upstream in the order of their
// arrival, and stops holding new ones.
func (p *pendingAnnouncements) release() []arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.departuresKnown = true
	var list []arrival
	for _, held := range p.byInstance {
		list = append(list, held.first)
		if held.latest != held.first {
			list = append(list, held.latest)
		}
	}
	p.byInstance = nil
	return list
}
