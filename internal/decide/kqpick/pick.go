package kqpick

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqeject"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// drawn is how many upstreams a choice is made among: with two, calls meet slow ones
	// by chance; with all, every entry chooses the same one. mostDrawn bounds the draw
	// where some of them fail part of their calls.
	drawn     = 4
	mostDrawn = 8
	// nearFactor is what the expected time counts for in the entry's own failure
	// domain: the way to another and back is 1 to 3 ms of calls that take 30 to 150 ms,
	// and answers that cross are paid for.
	nearFactor = 0.8
	// full is the part of the slots in use above which a call is expected to wait,
	// by a report that is some calls old; crowd is what each slot in use below it
	// counts for, which spreads calls over equals.
	full  = 0.75
	crowd = 0.25
	// announcedCold is how many times slower an upstream is that says so itself.
	announcedCold = 2.0
	// failureCost is how many calls' work a failed call counts for: it is made again
	// elsewhere, which uses up a budget that all nodes share, or is lost to its caller
	// if it must not be repeated. calmUse is the part of a service's slots up to which
	// it counts.
	failureCost = 40.0
	calmUse     = 0.5
	// crowdedUse is the part of a service's slots, with those who wait, from which on it
	// has more calls than it can run at once.
	crowdedUse  = 1.0
	coldFactor  = 4.0
	coldFor     = 10 * time.Second
	reportLasts = time.Second
	medianLasts = 100 * time.Millisecond
	// spareLasts is how long a full upstream is taken to stay full: about as long
	// as a call lasts.
	spareLasts = 100 * time.Millisecond
)

type (
	// Pool holds what one entry knows of one service's upstreams. It is not safe
	// for concurrent use.
	Pool struct {
		domain  kqname.Domain
		plain   bool
		source  []kqmember.Candidate
		peers   []*Peer
		fit     []*Peer
		ejector kqeject.Ejector
		median  time.Duration
		judged  time.Time
		// inUse is the part of the service's slots in use when it was counted last.
		inUse   float64
		counted time.Time
		started bool
	}

	// Option sets up a Pool.
	Option func(*Pool)
)

// WithPlain makes the pool choose at random, as a baseline for measurements.
func WithPlain(plain bool) Option { return func(p *Pool) { p.plain = plain } }

// New returns the pool of an entry in the failure domain.
func New(domain kqname.Domain, options ...Option) *Pool {
	p := &Pool{domain: domain}
	for _, o := range options {
		o(p)
	}
	return p
}

// Set takes in the service's upstreams. What is known of those that stay is
// kept. The pool's first upstreams count as warm: a starting entry knows no
// better, and they were there before it.
func (p *Pool) Set(all []kqmember.Candidate, now time.Time) {
	if p.started && len(all) == len(p.source) && (len(all) == 0 || &all[0] == &p.source[0]) {
		return
	}
	old := p.peers
	p.source, p.peers = all, make([]*Peer, 0, len(all))
	for _, c := range all {
		i := slices.IndexFunc(old, func(o *Peer) bool { return o.Node == c.Node && o.Version == c.Version && o.Gate == c.Gate })
		if i < 0 {
			p.peers = append(p.peers, p.admit(c, now))
			continue
		}
		o := old[i]
		old = slices.Delete(slices.Clone(old), i, i+1)
		o.Candidate = c
		p.peers = append(p.peers, o)
	}
	for _, o := range old {
		p.ejector.Forget(&o.state)
	}
	p.started = true
}

// Pick returns an upstream that the target allows and whose node was not tried
// before; nil if there is none. Done must follow.
func (p *Pool) Pick(target Target, tried []kqname.Node, now time.Time, random *rand.Rand) *Peer {
	chosen := p.choose(target, tried, now, random)
	if chosen == nil {
		return nil
	}
	if chosen.state.Ejected() {
		chosen.state.Probe()
	}
	chosen.sent++
	chosen.routes.sent(target.Route)
	return chosen
}

// Done takes in how a call ended that Pick chose the upstream for, and the load
// that the gate told, if it did. A failed answer is one with a status of 5xx.
func (p *Pool) Done(o *Peer, end kqcall.Outcome, failed bool, load *kqcall.Load, now time.Time) {
	o.sent--
	if load != nil {
		o.load, o.reported = *load, now
		o.routes.learn(load, now)
	}
	if p.plain {
		return
	}
	switch {
	case gone(end.Reason):
		p.ejector.Unreachable(&o.state, now)
	case end.Result == kqcall.Unknown && end.Reason != kqcall.Cancelled, failed, end.Reason == kqcall.Shed:
		p.ejector.Failed(&o.state, len(p.peers), now)
	default:
		p.ejector.Answered(&o.state, len(p.peers), o.load.Work, p.outlying(now), now)
	}
}

func (p *Pool) choose(target Target, tried []kqname.Node, now time.Time, random *rand.Rand) *Peer {
	p.fit = p.fit[:0]
	last := 0
	for _, o := range p.peers {
		if !target.allows(o.Candidate) || slices.Contains(tried, o.Node) {
			continue
		}
		if o.state.Ejected() {
			if o.state.ProbeDue(now) {
				return o
			}
			last++
			continue
		}
		p.fit = append(p.fit, o)
	}
	if len(p.fit) == 0 && last > 0 {
		p.lastResort(target, tried)
	}
	if len(p.fit) == 0 {
		return nil
	}
	if p.plain {
		return p.fit[random.IntN(len(p.fit))]
	}
	return p.best(p.fit, target, now, random)
}

// lastResort takes the ejected one in that is due back first: where all that a
// call may go to look bad, a bad one may still answer, and refusing would answer
// nobody. Each failure puts an upstream's return off, so that one which was out of
// reach for a moment is met within a call or two. A choice by load would go on
// meeting the dead instead: with nothing running they look idle.
func (p *Pool) lastResort(target Target, tried []kqname.Node) {
	var first *Peer
	for _, o := range p.peers {
		if !target.allows(o.Candidate) || slices.Contains(tried, o.Node) {
			continue
		}
		if first == nil || o.state.Until().Before(first.state.Until()) {
			first = o
		}
	}
	p.fit = append(p.fit, first)
}

func (p *Pool) admit(c kqmember.Candidate, now time.Time) *Peer {
	o := &Peer{Candidate: c, first: now}
	if !p.started {
		o.first = now.Add(-coldFor)
	}
	return o
}

// gone reports whether the reason tells that the upstream takes no calls at all.
func gone(r kqcall.Reason) bool {
	switch r {
	case kqcall.Draining, kqcall.NoUpstream, kqcall.ConnectFailed, kqcall.RolledBack:
		return true
	default:
		return false
	}
}
