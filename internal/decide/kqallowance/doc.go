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
// nothing.
//
// Grounds for the figures: three quarters are used. The rest covers calls that
// sent-again calls cause at other services, which count there, windows that end
// between a call and its second sending, and nodes that join.
package kqallowance
