// Package kqallowance decides whether a call may be sent to a second upstream,
// where the operators bound for each service how many such sendings all nodes
// together may add to its calls: a ratio, and a slack beside it, in any window of
// some seconds.
//
// Load patterns: failing upstreams, lost answers, retry storm. Without a bound the
// calls that fail double the load of the upstreams that are left; with a bound for
// each node alone, a fleet of ninety would add ninety times the slack.
//
// A node earns its part of the ratio with each of its own calls, and may save up
// its part of the slack. What a gate refuses has not been at an upstream and costs
// nothing. A call that comes because the run above it was sent again counts like a second
// sending at the service that it goes to, so that it takes from the allowance too.
package kqallowance
