// Package kqdetector detects failed members by missed heartbeats. It neither sends
// heartbeats nor tells other nodes of a suspicion.
package kqdetector
