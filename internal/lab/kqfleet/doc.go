// Package kqfleet runs an in-memory platform, nodes and fake upstreams on
// loopback in one process, for demonstrations, measurements and tests.
package kqfleet
