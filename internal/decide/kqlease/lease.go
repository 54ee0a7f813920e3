package kqlease

import "time"

const (
	// Wait means that there is nothing to do.
	Wait Step = "wait"
	// Acquire means to read the slots and acquire a free one.
	Acquire Step = "look"
	// Renew means to renew the held lease.
	Renew Step = "renew"
	// GiveUp means to stop reading, since the lease may have expired.
	GiveUp Step = "give_up"

	// ReadersPerDomain is the number of readers of a failure domain. Both read, so that a
	// domain that loses one still has the other.
	ReadersPerDomain = 2
	// TTL is the duration of a lease. A domain that lost both readers has none for about
	// that long; the other domains' readers serve it meanwhile.
	TTL = 6 * time.Second

	// renewInterval is the age from which on a lease is renewed. A request that has not
	// succeeded is repeated after a third of it.
	renewInterval = TTL / 3
	// margin is how long before its expiry a lease is given up, to allow for clock drift
	// and slow answers.
	margin = TTL / 4
	// rankDelay times its rank is how long a member waits before it tries to acquire a
	// vacant slot, so that the first one acquires it before the others try.
	rankDelay = 2 * time.Second
	// acquireInterval is the least time between two attempts of a member.
	acquireInterval = 2 * time.Second
	// maxCandidates is how many members of a domain try to acquire a vacant slot. It
	// makes the load on the platform independent of the domain's size.
	maxCandidates = 3
)

type (
	// Step is the next action of a Holder.
	Step string

	// Situation is the input of a decision.
	Situation struct {
		// Readers is the number of live readers known in the own domain, without this
		// node.
		Readers int
		// Rank is this node's position, from 0, among the domain's live members without a
		// lease, ordered by how long they have run, longest first.
		Rank int
	}

	// Holder decides for one node when to acquire, renew and give up a lease.
	//
	// It handles outages and pauses. Expiry is determined by the local clock, so a node
	// that was paused gives up its lease as soon as it resumes, without asking the
	// platform. Two holders of a slot at once, or none for a while, cause only extra calls
	// or delay. Times are compared as passed; passing monotonic times protects against wall
	// clock jumps.
	Holder struct {
		held bool
		// renewedAt is when the last successful request was sent, and requestedAt when the
		// last request of any outcome was.
		renewedAt   time.Time
		requestedAt time.Time
		// vacantSince is the time since which a slot has been vacant and this node has been
		// a candidate for it.
		vacantSince time.Time
		// triedAt is when this node last tried to acquire a lease.
		triedAt time.Time
	}
)

// Next returns the action to take at the time now.
func (h *Holder) Next(s Situation, now time.Time) Step {
	if h.held {
		return h.nextHeld(now)
	}
	if s.Readers >= ReadersPerDomain || s.Rank >= maxCandidates {
		h.vacantSince = time.Time{}
		return Wait
	}
	if h.vacantSince.IsZero() {
		h.vacantSince = now
	}
	if now.Sub(h.vacantSince) < time.Duration(s.Rank)*rankDelay || now.Sub(h.triedAt) < acquireInterval {
		return Wait
	}
	h.triedAt = now
	return Acquire
}

func (h *Holder) nextHeld(now time.Time) Step {
	switch since := now.Sub(h.renewedAt); {
	case since >= TTL-margin || since < 0:
		return GiveUp
	case since >= renewInterval && now.Sub(h.requestedAt) >= renewInterval/3:
		h.requestedAt = now
		return Renew
	default:
		return Wait
	}
}

// Holds reports whether the lease is held.
func (h *Holder) Holds() bool { return h.held }

// RecordRenewal records that the platform granted or renewed the lease in answer to a
// request sent at the given time. The lease lasts at least TTL from then.
func (h *Holder) RecordRenewal(sent time.Time) { h.held, h.renewedAt, h.requestedAt = true, sent, sent }

// RecordLoss records that the lease was lost or given up.
func (h *Holder) RecordLoss() { *h = Holder{triedAt: h.triedAt} }
