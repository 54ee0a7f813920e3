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
	case kqcall.ConnectFailed, kqcall.NoUpstream, kqcall.Cut, kqcall.Crossed, kqcall.Moved:
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
