// Package kqgrace decides which calls a node that stops still passes on.
//
// It answers calls that keep arriving during a planned stop, until their callers have moved to
// other nodes, while the end of the process is fixed. Without it, a call of a route whose usual
// work is longer than what is left would be passed on and cut off at the end: its caller would wait
// in vain, and not know whether it ran.
package kqgrace
