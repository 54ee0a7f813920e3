// Package kqpick chooses the upstream that a call is sent to.
//
// Load patterns: slow upstream, churn, loss of a failure domain. A random choice
// gives each upstream the same number of calls, whatever it can take: one that
// is 20 times slower holds a sixth of the calls of six, and each waits there. A
// choice of the best by reports that are a moment old sends every entry's calls
// to the same one. Here the best of four random choices is taken, within the own
// failure domain too, which evens the load out.
//
// The best one has the least expected time: what its gate told that calls of the route
// take and wait there, more while it is cold, and what this entry has sent since. By what
// an upstream's calls of any kind take, one that answers many short calls would look idle
// to the long ones, until it refuses them. Where a gate told nothing of the route, the
// upstream's recent calls count, and the wait once its slots are nearly all in use. While
// slots are free a fast upstream with some calls is better than a slow one with none; in
// overload the wait decides. Upstreams of the entry's own failure domain are taken for a
// fifth faster, as that saves the way between domains, and go before all others while
// they are expected to answer well within the route's target.
//
// An upstream that fails part of its calls, by what its gate saw of all entries',
// counts as slower by what a failure costs, and further ones are drawn until four do
// not fail. This holds while the service has slots to spare, by the mean of all fresh
// reports: in a burst the others have no room for those calls as well, and callers
// would rather take their chance than wait in vain.
package kqpick
