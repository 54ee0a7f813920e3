// Package kqdisconnect detects callers that disconnect while their call waits or runs, and
// cancels the call.
//
// fasthttp does not read from a connection while it serves a call, so it would not notice a
// disconnect: the call would keep its place in a queue and then a slot for nobody. In an
// overload most of the work would be for callers that have given up. Probing each
// connection every 25 ms costs one system call per probe for calls that have lasted that
// long, and none for shorter ones.
//
// Probe and SetUserTimeout also serve connections to upstreams and to other nodes.
package kqdisconnect
