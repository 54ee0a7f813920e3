// Package kqfollower decides which nodes follow the store for all others. It is for
// stores whose keys can be listed; package kqreader elects the nodes for other stores.
//
// The choice is a pure function of the members: in each failure domain, the PerDomain
// nodes with the highest configured link bandwidth, then the largest configured share of
// cores, and among equals those with the lowest hash of the name. A value that is not
// set ranks last. These followers hold the whole document for their domain and poll the
// store by cheap reads. Only the first Watchers of them, taken from all domains in turn,
// also watch it, since each watch costs the store one call per version. A follower that
// the store does not answer says so to its peers and no longer counts as watching: others
// take its place, and in an outage all followers try.
//
// The choice needs no leases: nodes' views of the members differ for seconds at most, a
// surplus follower costs a few calls, and the followers of other domains compensate for a
// missing one. The store's load is therefore independent of the fleet's size, and after an
// outage the store has its followers at once, without waiting for leases to expire and be
// acquired again.
package kqfollower
