// Package kqowner gives each rollout one owner by a lease on the platform, stores
// the progress of the rollout there, and sets its final state by a single
// compare-and-swap.
//
// Two concurrent owners do no harm: steps only increase, along one schedule, and
// only the first record of the final state is accepted. The lease only limits the
// load on the platform to a few calls a second for each rollout.
package kqowner
