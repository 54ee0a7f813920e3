// Package kqrolloutsim simulates a rollout of a service's new upstream version in
// virtual time. The version is good or has a known regression; the simulation
// includes slots, load-dependent latency, cold starts, noise, simultaneous
// restarts, a slow shared dependency and differences between routes. A tick is
// one second, and the calls of a tick are drawn as counts, not one by one. The package
// decides nothing: its users set the new version's share in each tick.
package kqrolloutsim
