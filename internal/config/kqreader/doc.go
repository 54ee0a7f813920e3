// Package kqreader elects, by leases on two slots in each failure domain, a few nodes
// that read from the platform's service for all others. Package kqfollower replaces it
// for platforms whose keys can be listed.
//
// With d failure domains, 2 slots each, a lease renewal every 2 s, a long-polling
// watch of 20 s and a poll every 10 s, the platform's load in the steady state is, per
// second:
//
//	2*d * (1/2 + 1/20 + 1/10) = 1.3*d calls, and 2*d watch answers per change
//
// The load does not depend on the number of nodes. In addition, a starting node reads
// the 2 slots of its failure domain at most every 2 s, until it knows both readers of
// the domain or three members of it that rank before it.
package kqreader
