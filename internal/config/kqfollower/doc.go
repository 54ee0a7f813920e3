// Package kqfollower decides which nodes follow the store for all others. It is a
// pure function of the members: those of each failure domain with the widest links,
// among equals the first in the order of a hash of their names. No lease is taken for it: two views of the members
// differ for seconds at most, and a follower too many costs a few calls, while one
// too few is made up for by the other domains'. The store's load is therefore
// independent of the fleet's size, and a store that comes back finds its followers
// at once, instead of after leases have lapsed and been taken anew.
package kqfollower
