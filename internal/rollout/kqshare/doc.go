// Package kqshare picks which calls go to a rollout's new version, and to
// which of its upstreams.
//
// A bad version may only show under load, while it must not get over a small
// share. Spread thinly over all new upstreams, a share of 5% leaves each of
// them at a twentieth of its load. So the small share goes to few upstreams,
// each at the load that an old one has; where even one is too many for that,
// as in a fleet of six, it goes there in bursts of part of each second.
package kqshare
