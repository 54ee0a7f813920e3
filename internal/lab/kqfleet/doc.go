// Package kqfleet runs a platform stand-in, nodes and fake upstreams on
// loopback in one process, for demonstrations, measurements and tests.
package kqfleet
