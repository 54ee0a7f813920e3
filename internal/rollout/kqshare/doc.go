// Package kqshare selects the calls that go to a rollout's new version, and the
// upstreams that they go to.
//
// Some faults of a version only show under load, while it must not get more than a
// small share. Spread evenly over all new upstreams, a share of 5% gives each of them
// a twentieth of its normal load. The small share therefore goes to few upstreams,
// each with the load of an old one. Where the share is too small even for one, as in
// a fleet of six, that one gets it in bursts during a part of each second.
package kqshare
