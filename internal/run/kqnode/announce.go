package kqnode

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqdeparture"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// pending keeps announcements while a starting node does not know yet which
// upstreams have left. It is safe for concurrent use.
type pending struct {
	mu      sync.Mutex
	learned bool
	held    map[kqname.Instance]kqlocal.Announcement
}

// serveAnnouncement takes an announcement in a platform's own form. One that
// cannot be read, or names an upstream of another service, names no upstream.
func (n *Node) serveAnnouncement(ctx *fasthttp.RequestCtx) {
	a, ok, err := n.adapter.Announcements.Read(string(ctx.Request.Header.RequestURI()), ctx.PostBody())
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if err == nil && !a.Gone && a.Service != n.settings.Node.Service {
		err = fmt.Errorf("announcement for service %.64q: %w", string(a.Service), kqlocal.ErrAnnouncement)
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

// announce takes in an announcement. That an upstream leaves takes effect, and is
// held beyond this process, before the upstream has its answer.
func (n *Node) announce(a kqlocal.Announcement) error {
	now := time.Now()
	leaves := a.Gone || a.Draining
	if !leaves && n.pending.keep(a) {
		return nil
	}
	if leaves {
		// What was announced before must not come into force after the goodbye.
		held := n.pending.drop(a.Instance)
		if a.Born == 0 {
			a.Born = max(held.Born, n.local.Born(a.Instance))
		}
		if a.Born == 0 {
			// Nobody knows when it started, but it did before now.
			a.Born = now.UnixMilli()
		}
	}
	if err := n.local.Announce(a, now); err != nil {
		return err
	}
	if leaves {
		n.gate.Sweep(now)
		if n.distribution.departures != nil {
			n.distribution.departures.Tell(context.Background(), kqdeparture.Departure{Instance: a.Instance, Born: a.Born})
		}
	}
	return nil
}

// learnDepartures finds out which upstreams have left before this process
// started, and takes in what was announced meanwhile.
func (n *Node) learnDepartures(ctx context.Context) {
	now := time.Now()
	for _, d := range n.distribution.departures.Learn(ctx) {
		n.local.Left(d.Instance, d.Born, now)
	}
	for _, a := range n.pending.open() {
		if err := n.local.Announce(a, time.Now()); err != nil {
			n.logger.Part("upstream").WithError(err).Warn("Announcement refused.")
		}
	}
}

// keep holds an announcement back and reports whether it did.
func (p *pending) keep(a kqlocal.Announcement) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.learned {
		return false
	}
	if p.held == nil {
		p.held = make(map[kqname.Instance]kqlocal.Announcement)
	}
	p.held[a.Instance] = a
	return true
}

// drop forgets what an upstream announced, and returns it.
func (p *pending) drop(instance kqname.Instance) kqlocal.Announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.held[instance]
	delete(p.held, instance)
	return a
}

// open returns what was held back, and holds nothing back from now on.
func (p *pending) open() []kqlocal.Announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learned = true
	list := make([]kqlocal.Announcement, 0, len(p.held))
	for _, a := range p.held {
		list = append(list, a)
	}
	p.held = nil
	return list
}
