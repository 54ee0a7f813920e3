// Package kqdeparture remembers which upstreams have said that they leave, beyond
// the life of the node that they said it to.
//
// An upstream that leaves gets no calls from a few seconds after its node has
// acknowledged that. The node keeps nothing on disk: restarted in those seconds, it
// would take the next announcement, or one that was late, for a healthy upstream's
// and send it calls. So a departure is told to peers and to the store before it is
// acknowledged, and a starting node asks both before it uses any upstream.
package kqdeparture
