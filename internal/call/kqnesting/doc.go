// Package kqnesting holds the calls that run at a node's local upstreams, so that a call
// which an upstream makes on behalf of one of them is recognized as nested.
//
// Where upstreams do not pass on the depth of the call that they are running, their own
// calls look like calls from outside and would be queued and refused like new work. But
// the outer call holds a slot at another upstream while it waits: refusing the nested
// call wastes that work, and the more is wasted, the busier both services become.
//
// An upstream's claim counts only if it names a call that is running beside this node
// now.
package kqnesting
