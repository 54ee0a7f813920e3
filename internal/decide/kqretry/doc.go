// Package kqretry decides whether a call may be retried, if the operators set no bound on
// retries. With a bound, kqallowance decides.
//
// Load pattern: retry storm. Without a budget, a service that refuses half of its calls
// gets a refused call up to three times, just when it is overloaded. In a chain of 13
// services where each level retries, the load at the bottom is multiplied by the product of
// all levels.
//
// Each call earns a fraction of a retry, and each retry spends a whole one. Refusals for
// load may only be retried by calls from outside (depth 0), so that one level retries
// rather than each. Calls that failed because a node or upstream has gone or was replaced
// (connect_failed, no_upstream, cut, moved), or because the response was another call's
// (crossed), may be retried at any depth, since the next choice is another upstream. Their
// budget is so small that the retries of 13 levels, with those of refusals for load, add
// less than a tenth of the calls. If a gate reports that its upstream drains or was rolled
// back, the retry is free: the entry stops using that upstream, so only the few calls in
// flight are affected.
//
// Package kqentry may also pass a call that a full gate refused to a gate that seems to have
// a free slot. This is possible at any depth and spends no budget.
package kqretry
