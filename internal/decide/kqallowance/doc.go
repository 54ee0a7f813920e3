// Package kqallowance decides whether a call may be retried at another upstream, within
// the operators' bound on the retries that all nodes together may add to each service's
// calls: a ratio plus a slack, in any window of some seconds.
//
// Load patterns: failing upstreams, lost answers, retry storm. Without a bound, failing
// calls double the load on the remaining upstreams. With a bound per node, a fleet of
// ninety would add ninety times the slack.
//
// A node earns its share of the ratio with each of its own calls, and may accumulate its
// share of the slack, but always one retry. In a fleet with more nodes than the slack allows
// retries, the nodes together may therefore exceed the bound. A call that a gate refused
// has not reached an upstream, so the entry does not charge its retry to the allowance. A
// nested call that is repeated because its calling call was retried counts as a retry at
// the service that it goes to, and also spends the allowance.
package kqallowance
