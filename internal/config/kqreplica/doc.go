// Package kqreplica holds the configuration that one node's traffic needs:
// always one whole version, whose number only grows.
package kqreplica
