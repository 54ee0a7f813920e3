// Package kqfair orders the calls that wait at a gate so that each caller gets
// its share of the upstream.
//
// Load pattern: a hot caller, or many calls under one key. Without it, one
// first-come queue gives each caller a share of the upstream equal to its share
// of the arrivals: a caller that sends ten times its share makes every other
// caller wait behind its backlog. Here each caller has a line of its own and the
// lines take turns by the work that they have been given (start-time fair
// queueing), so that a backlog delays only the caller that built it. It is a
// share and not a rate: whoever is alone gets the whole upstream.
package kqfair
