// Package kqreplica holds the configuration that one node's traffic needs. It
// always holds one complete version, and the version number never decreases.
package kqreplica
