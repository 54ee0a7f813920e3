// Package kqentry takes callers' calls, matches a route, picks an upstream and
// sends the call to that upstream's gate.
package kqentry
