// Package kqfair orders the calls that wait at a gate so that each caller gets
// its share of the upstream.
//
// Load pattern: a hot caller, or many calls under one key. In a single FIFO queue, each
// caller's share of the upstream equals its share of the arrivals: a caller that sends
// ten times its share makes all other callers wait behind its backlog. Here each caller
// is a flow of its own, and flows are served by the work that they have been given
// (start-time fair queueing), so that a backlog delays only the caller that built it.
// This divides capacity and is no rate limit: a caller that is alone gets the whole
// upstream.
package kqfair
