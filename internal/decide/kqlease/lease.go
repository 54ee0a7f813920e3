package kqlease

import "time"

const (
	// Wait does nothing.
	Wait Step = "wait"
	// Look reads the slots, and takes one that is free.
	Look Step = "look"
	// Renew renews the lease that is held.
	Renew Step = "renew"
	// GiveUp stops reading: the lease may have lapsed.
	GiveUp Step = "give_up"

	// Slots is how many readers a failure domain has: one and its stand-by.
	Slots = 2
	// TTL is how long a lease lasts. A domain that lost both readers is without
	// for about that long; the other domains' readers serve it meanwhile.
	TTL = 6 * time.Second

	renewEvery = TTL / 3
	// margin is given up before the platform would let the lease lapse, for
	// clocks that run at different speeds and answers that were slow.
	margin = TTL / 4
	// rankStep keeps members of lower rank from looking together with the
	// first: whoever looks first takes the slot, and the rest see it taken.
	rankStep  = 2 * time.Second
	lookEvery = 2 * time.Second
	// lookers is how many members of a domain look at all. It makes the load of
	// a vacant slot on the platform independent of the domain's size.
	lookers = 3
)

type (
	// Step is what to do next.
	Step string

	// Situation is what the decision depends on.
	Situation struct {
		// Readers is how many live readers the own domain is known to have,
		// this node left out.
		Readers int
		// Rank is this node's place among the domain's members that could be
		// readers, from 0.
		Rank int
	}

	// Holder decides for one node.
	//
	// It answers outages and pauses. The time is the holder's own: a holder that
	// was paused gives up by itself when it wakes, instead of finding out from
	// the platform. Two readers at once, or none for a while, do no harm but
	// calls and delay. Times are compared as given, so that a caller who passes
	// monotonic times is safe from a wall clock that jumps.
	Holder struct {
		held    bool
		renewed time.Time
		asked   time.Time
		vacant  time.Time
		looked  time.Time
	}
)

// Next returns what to do at the time now.
func (h *Holder) Next(s Situation, now time.Time) Step {
	if h.held {
		return h.nextHeld(now)
	}
	if s.Readers >= Slots || s.Rank >= lookers {
		h.vacant = time.Time{}
		return Wait
	}
	if h.vacant.IsZero() {
		h.vacant = now
	}
	if now.Sub(h.vacant) < time.Duration(s.Rank)*rankStep || now.Sub(h.looked) < lookEvery {
		return Wait
	}
	h.looked = now
	return Look
}

func (h *Holder) nextHeld(now time.Time) Step {
	switch since := now.Sub(h.renewed); {
	case since >= TTL-margin || since < 0:
		return GiveUp
	case since >= renewEvery && now.Sub(h.asked) >= renewEvery/3:
		h.asked = now
		return Renew
	default:
		return Wait
	}
}

// Holds reports whether the lease is held.
func (h *Holder) Holds() bool { return h.held }

// Renewed notes that the platform granted or renewed the lease upon a request
// that was sent at the time sent; the lease cannot end before sent and TTL.
func (h *Holder) Renewed(sent time.Time) { h.held, h.renewed, h.asked = true, sent, sent }

// Lost notes that the lease is gone or was given up.
func (h *Holder) Lost() { *h = Holder{looked: h.looked} }
