// Package kqratelimit keeps the calls to one upstream within the rate that it names in its
// answers.
//
// Load patterns: an upstream in need that names a limit for a while, several of a service at
// once, and one that names it on and off.
//
// The limit is the upstream's word for all nodes together. Only its own node sees all calls
// to it and all its answers, so the limit is kept there; any number of nodes that each kept
// it by themselves would send as many times too much.
package kqratelimit
