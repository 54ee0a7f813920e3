// Package kqreplica holds the configuration that one node's traffic needs and, if
// required, all other objects of the version, to serve them to peers. Its snapshot is
// always complete for the hosts that it holds, and the version number never
// decreases. The package does not learn of new versions itself: callers pass their
// roots, and a Source returns the objects.
package kqreplica
