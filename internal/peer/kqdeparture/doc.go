// Package kqdeparture replicates which upstreams have announced their departure, so
// that the information survives a restart of their node.
//
// A leaving upstream gets no more calls from a few seconds after its node has
// acknowledged the departure. The node keeps nothing on disk: after a restart within
// those seconds it would take the next announcement, or a late one, for a healthy
// upstream's and send it calls. Therefore a departure is sent to peers and to the store
// before it is acknowledged, and a starting node reads both before it uses any
// upstream.
package kqdeparture
