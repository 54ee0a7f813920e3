// Package kqdeparture replicates which upstreams have announced their departure, so
// that the information survives a restart of their node.
//
// An upstream exits a few seconds after its node has acknowledged the departure, and
// must get no new calls by then. The node keeps nothing on disk: after a restart within
// those seconds it would treat the upstream's next announcement, or a delayed one, as
// that of a healthy upstream and send it calls. Therefore a departure is sent to peers
// and to the store before it is acknowledged, and a starting node reads both before it
// uses any upstream. All processes may be killed together, so the acknowledgement waits
// for the store. Peers stand in for a store that does not answer.
package kqdeparture
