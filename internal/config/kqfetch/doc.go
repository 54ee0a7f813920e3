// Package kqfetch fetches configuration objects for a node: from the readers,
// from peers of the same service and, as the last resort, from the platform. It
// also serves the node's own objects to its peers; a reader first fetches from the
// platform those that it lacks. It neither chooses the version nor applies it;
// packages kqdistribute and kqreplica do.
package kqfetch
