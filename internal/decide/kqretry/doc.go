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
//
// Grounds for the figures: at depth 0 a call earns a twentieth for load and
// 1/300 for churn, at other depths 1/300 for churn alone: (1 + 1/20 + 1/300) ×
// (1 + 1/300)^12 = 1.096, under the 10% that retries may add in all. The reserve
// of 10 that a service has at the start and after a calm spell lets the calls
// that a dying node held be sent elsewhere; the node is ejected after the first.
package kqretry
