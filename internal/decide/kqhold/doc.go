// Package kqhold decides for how long a node that has just started holds a call that it cannot
// serve yet.
//
// Load pattern: all nodes of a fleet restart at once, and callers who waited call in the same
// moment. A node has its configuration and knows upstreams some 100 ms after it listens. A
// call that it refuses meanwhile comes back after its Retry-After, later than it would have
// been answered, and for many callers too late. Once the node should have both, it refuses at
// once again, since a wait would be in vain.
package kqhold
