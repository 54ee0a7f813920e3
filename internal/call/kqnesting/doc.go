// Package kqnesting holds the calls that run at a node's local upstreams, so that a call
// which an upstream makes on behalf of one of them is recognized as nested.
//
// Some upstreams do not pass on the depth of the call that they are running. Their own
// calls then look like calls from outside and would be queued and refused like new work.
// But the call that a nested call belongs to holds a slot while it waits for it: refusing
// the nested call wastes the work done in that slot, and the busier both services are, the
// more work is wasted.
//
// An upstream's claim that its call is nested counts only if it names a call that is
// running at one of this node's upstreams at that time.
package kqnesting
