package kqallowance

// usedShare is the share of the operators' bound that nodes use.
const usedShare = 0.75

type (
	// Bound is the operators' bound on one service's retries over all nodes: Ratio times
	// its calls, plus Slack.
	Bound struct {
		Ratio, Slack float64
	}

	// Allowance is one node's share of the bound for one service. It is not safe for
	// concurrent use.
	Allowance struct {
		bound  Bound
		tokens float64
	}
)

// New returns an Allowance without tokens. A node that restarts may have used its share of
// the slack just before; with initial tokens, each node would use it twice in a rolling
// restart.
func New(b Bound) *Allowance { return &Allowance{bound: b} }

// Earn counts the first attempt of a call by one of the given number of nodes.
func (a *Allowance) Earn(nodes int) {
	a.tokens = min(a.tokens+usedShare*a.bound.Ratio, a.maxTokens(nodes))
}

// RecordRepeat counts a call that is repeated because its calling call was retried; the
// bound counts it as a retry. It cannot be refused, so the balance may become negative,
// down to minus the maximum, and the node then retries less.
func (a *Allowance) RecordRepeat(nodes int) {
	a.tokens = max(a.tokens-1, -a.maxTokens(nodes))
}

// Spend reports whether a call may be retried at another upstream, and counts the retry if
// so.
func (a *Allowance) Spend(nodes int) bool {
	// The fleet may have grown since the last call.
	a.tokens = min(a.tokens, a.maxTokens(nodes))
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// maxTokens returns the maximum balance: at least one retry, or a node with few calls
// could never retry.
func (a *Allowance) maxTokens(nodes int) float64 {
	return max(usedShare*a.bound.Slack/float64(max(nodes, 1)), 1)
}
