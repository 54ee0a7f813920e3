// Package kqreader makes a few nodes the readers of the platform's service for
// all others, by leases on two slots in each failure domain.
//
// The platform's load in the steady state is, per second, with d failure
// domains, 2 slots each, a renewal every 2 s, a waiting watch of 20 s and a poll
// every 10 s:
//
//	2*d * (1/2 + 1/20 + 1/10) = 1.3*d calls, and 2*d watch answers a change
//
// The number of nodes does not occur in it. A starting node reads the slots of
// its own domain, 2 calls, once or until it has found a peer.
package kqreader
