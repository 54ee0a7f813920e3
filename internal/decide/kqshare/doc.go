// Package kqshare orders the calls that wait at a gate so that each workspace gets its share
// of the upstream.
//
// Load pattern: one workspace sends several times its usual load, over many connections and
// with quick retries. Workspaces are served by the expected work that they have been given
// (start-time fair queueing), whatever the number of their calls, callers and connections.
// Within a workspace, more important routes are served first. A workspace that is alone gets
// the whole upstream.
//
// All calls without a workspace share the capacity as one workspace does; kqfair divides it
// among their callers. Where no call has a workspace, the order is that of kqfair.
//
// Unlike in kqfair, each workspace has a flow of its own: a workspace that shared the flow of
// one with a backlog would lose its share, and 10,000 workspaces exceed any fixed number of
// flows. Flows of idle workspaces are removed, and those with waiting calls are in a heap, so
// that finding the next call takes time logarithmic in their number.
package kqshare
