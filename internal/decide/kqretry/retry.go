// Package kqretry decides whether a call may be sent again.
//
// Load pattern: retry storm. Without a budget, a service that refuses half of
// its calls gets each of them up to three times, and is refused to be left
// alone just when it is full; 13 services deep, where each level retries, the
// load at the bottom is multiplied by the product of all levels.
//
// Each call earns a part of a retry and each retry spends a whole one. Where
// the refusal comes from load, only calls from outside (depth 0) may spend: one
// level retries, not each. Calls that a node or upstream failed which has gone
// (connect_failed, no_upstream, cut) may be retried at any depth, since the next
// choice is another upstream, but from a budget so small that 13 levels of it
// stay within the whole. A gate's own word that its upstream drains or was taken
// back costs nothing: the entry leaves that upstream out from then on, so that
// it is the few calls on their way that meet it.
//
// Grounds for the figures: at depth 0 a call earns a twentieth for load and
// 1/300 for churn, at other depths 1/300 for churn alone: (1 + 1/20 + 1/300) ×
// (1 + 1/300)^12 = 1.096, under the 10% that retries may add in all. The reserve
// of 10 that a service has at the start and after a calm spell lets the calls
// that a dying node held be sent elsewhere; the node is ejected after the first.
package kqretry

import "github.com/kumquatgw/kumquatgw/internal/call/kqcall"

const (
	perLoad  = 1.0 / 20
	perChurn = 1.0 / 300
	reserve  = 10
)

type (
	// Budget is one service's, for calls of one depth. It is not safe for
	// concurrent use.
	Budget struct {
		outermost   bool
		load, churn float64
	}
)

// New returns a full budget; outermost tells that it is for calls from outside.
func New(outermost bool) *Budget {
	b := &Budget{outermost: outermost, churn: reserve}
	if outermost {
		b.load = reserve
	}
	return b
}

// Earn counts a call that was sent for the first time.
func (b *Budget) Earn() {
	b.churn = min(b.churn+perChurn, reserve)
	if b.outermost {
		b.load = min(b.load+perLoad, reserve)
	}
}

// Spend reports whether a call that ended with the outcome may be sent again,
// and counts it. A call that may have run is sent again only if it is idempotent.
func (b *Budget) Spend(o kqcall.Outcome, idempotent bool) bool {
	if o.Result == kqcall.Unknown && !idempotent || o.Result == kqcall.Answered {
		return false
	}
	tokens := &b.load
	switch o.Reason {
	case kqcall.Draining, kqcall.RolledBack:
		return true
	case kqcall.ConnectFailed, kqcall.NoUpstream, kqcall.Cut, kqcall.Crossed:
		tokens = &b.churn
	case kqcall.QueueFull, kqcall.Shed:
	default:
		return false
	}
	if *tokens < 1 {
		return false
	}
	*tokens--
	return true
}
