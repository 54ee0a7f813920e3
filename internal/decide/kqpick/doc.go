// Package kqpick chooses the upstream that a call is sent to.
//
// Load patterns: slow upstream, churn, loss of a failure domain. A uniformly random choice
// sends each upstream the same number of calls regardless of its speed: one of six
// upstreams that is 20 times slower still gets a sixth of the calls, and each waits there.
// Choosing the best by reports that are slightly stale sends the calls of every entry to
// the same upstream. Instead, the best of four random upstreams is chosen, also within
// the own failure domain, which balances the load.
//
// The best upstream has the least expected time: the work and wait that its gate reported
// for the route, increased while the upstream is cold, plus this entry's calls since then.
// Estimated from calls of all routes together, an upstream that serves many short calls
// would look idle to long calls until it refuses them. If its gate has not reported the
// route, the least work that any upstream reported for the route counts, or the work of the
// upstream's recent short calls if none has, with a wait once three quarters of its slots
// are in use. While slots are free, a fast upstream with some calls beats a slow one with
// none; under overload, the wait decides. Upstreams of the entry's own failure domain count
// as a fifth faster, which saves traffic between domains, and are preferred to all others
// while their expected time is well within the route's target.
//
// Of an upstream that reports its load, the slowdown that it states counts and decays with the
// report's age, its running calls count before its slots are full, and calls leave their domain
// earlier and return to it later. See docs/design/placement-by-reports.md.
//
// An upstream that fails part of its calls, as its gate counts over all entries, is
// penalized by the cost of a failure, and sampling continues until it has found four that
// do not fail, or eight in all. This applies while less than half of the service's slots are
// in use, by the mean of recent reports: in a burst the other upstreams have no free slots
// for those calls, and a call that may fail is better than one that waits in vain.
package kqpick
