// Package kqretry decides whether a call may be sent again.
//
// Load pattern: retry storm. Without a budget, a service that refuses half of
// its calls gets each of them up to three times, and is refused to be left
// alone just when it is full; 13 services deep, where each level retries, the
// load at the bottom is multiplied by the product of all levels.
//
// Each call earns a part of a retry and each retry spends a whole one. Where
// the refusal comes from load, only calls from outside (depth 0) may spend: one
// level retries, not each. Calls that a node or upstream failed which has gone
// (connect_failed, no_upstream, cut) may be retried at any depth, since the next
// choice is another upstream, but from a budget so small that 13 levels of it
// stay within the whole. A gate's own word that its upstream drains or was taken
// back costs nothing: the entry leaves that upstream out from then on, so that
// it is the few calls on their way that meet it.
package kqretry
