// Package kqfleet runs an in-memory platform, nodes and fake upstreams on
// loopback in one process, for demonstrations, measurements and tests. Each server
// is a node with its upstreams and can be drained, killed and restarted. The package
// sends no calls.
package kqfleet
