package kqallowance

// used is the part of the operators' bound that is used.
const used = 0.75

type (
	// Bound is what operators allow for one service over all nodes: sendings
	// beyond the first up to Ratio times its calls, and Slack beside it.
	Bound struct {
		Ratio, Slack float64
	}

	// Allowance is one node's part for one service. It is not safe for concurrent
	// use.
	Allowance struct {
		bound  Bound
		tokens float64
	}
)

// New returns an allowance that has nothing saved up: a node that starts again may have
// used up its part of the slack just before, and in a fleet whose nodes are restarted
// one after the other each would have it twice.
func New(b Bound) *Allowance { return &Allowance{bound: b} }

// Earn counts a call that is sent for the first time, by one of nodes nodes.
func (a *Allowance) Earn(nodes int) {
	a.tokens = min(a.tokens+used*a.bound.Ratio, a.most(nodes))
}

// Repeated counts a call that comes because another was sent again, which the bound counts
// like a second sending. It has no choice any more, so that later ones make up for it.
func (a *Allowance) Repeated(nodes int) {
	a.tokens = max(a.tokens-1, -a.most(nodes))
}

// Spend reports whether a call may be sent to another upstream, and counts it.
func (a *Allowance) Spend(nodes int) bool {
	// The fleet may have grown since the last call.
	a.tokens = min(a.tokens, a.most(nodes))
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// most is what may be saved up: one sending at least, or a node with few calls
// could never send one again.
func (a *Allowance) most(nodes int) float64 {
	return max(used*a.bound.Slack/float64(max(nodes, 1)), 1)
}
