// Package kqdemo runs the two users' deployments, small, on loopback in one
// process: to try by hand, or driven through a script of changes and faults
// that ends by itself and tells what callers received.
//
// What it tells is counted by its callers, by the fake upstreams, by the
// platform's stand-in and by the connections between nodes, not by the nodes:
// each call carries an id of its own, each upstream tells which ids it ran and
// echoes them, and a route that only newer versions have shows from outside
// which version a node applies. Only the state of a rollout, which no caller
// can see, is read from the nodes.
package kqdemo
