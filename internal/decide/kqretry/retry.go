package kqretry

import "github.com/kumquatgw/kumquatgw/internal/call/kqcall"

const (
	// loadRetryRatio and churnRetryRatio are the retries that a call earns for refusals
	// for load and for the failures that may be retried at any depth. maxTokens bounds
	// each balance.
	loadRetryRatio  = 1.0 / 20
	churnRetryRatio = 1.0 / 300
	maxTokens       = 10
)

type (
	// Budget is the retry budget of one service for calls of one depth. It is not safe for
	// concurrent use.
	Budget struct {
		outermost bool
		// load and churn are the balances for refusals for load and for the failures that
		// may be retried at any depth.
		load, churn float64
	}
)

// New returns a full Budget. outermost is set for calls from outside.
func New(outermost bool) *Budget {
	b := &Budget{outermost: outermost, churn: maxTokens}
	if outermost {
		b.load = maxTokens
	}
	return b
}

// Earn counts the first attempt of a call.
func (b *Budget) Earn() {
	b.churn = min(b.churn+churnRetryRatio, maxTokens)
	if b.outermost {
		b.load = min(b.load+loadRetryRatio, maxTokens)
	}
}

// Spend reports whether a call with the outcome may be retried, and counts the retry if so.
// A call that may have run is retried only if it is idempotent; an answered one never is.
func (b *Budget) Spend(o kqcall.Outcome, idempotent bool) bool {
	if o.Result == kqcall.Unknown && !idempotent || o.Result == kqcall.Answered {
		return false
	}
	tokens := &b.load
	switch o.Reason {
	case kqcall.Draining, kqcall.RolledBack, kqcall.Evacuated:
		return true
	case kqcall.ConnectFailed, kqcall.NoUpstream, kqcall.Cut, kqcall.UpstreamEnded, kqcall.MismatchedResponse, kqcall.MalformedResponse, kqcall.Misdirected:
		tokens = &b.churn
	case kqcall.QueueFull, kqcall.Cold, kqcall.Limited, kqcall.RefusedByUpstream:
	default:
		return false
	}
	if *tokens < 1 {
		return false
	}
	*tokens--
	return true
}
