// Package kqentry accepts calls, matches each to a route, picks an upstream and sends
// the call to that upstream's gate.
package kqentry
