// Package kqentry is where calls enter the mesh: from outside and from the node's own
// upstream. It matches each call to a route, refuses some under overload, picks an upstream,
// sends the call to that upstream's gate, and retries it elsewhere if the rules for retries
// allow this. It does not queue calls for an upstream's slots, which is the gate's job.
package kqentry
