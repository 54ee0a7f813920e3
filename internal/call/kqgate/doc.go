// Package kqgate guards a node's local upstream: every call to it passes the gate. The
// gate counts the upstream's slots in use exactly, knows which calls did not run, and
// rejects new calls as soon as the upstream drains.
package kqgate
