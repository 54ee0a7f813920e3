// Package kqgate stands in front of a node's own upstream and is the only way
// to it. It knows the upstream's slots exactly, can tell with certainty that a
// call did not run, and stops new work for a leaving upstream at once.
package kqgate
