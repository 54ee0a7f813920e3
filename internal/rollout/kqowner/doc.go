// Package kqowner keeps one owner per rollout by a lease on the platform,
// stores what the rollout has come to, and settles its final state by one
// compare-and-swap.
//
// Two owners at once do no harm: steps only grow along one schedule, and only
// the first final record is let in. The lease only keeps the platform's load
// at a few calls a second for each rollout.
package kqowner
