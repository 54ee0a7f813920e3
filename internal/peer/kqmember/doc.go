// Package kqmember holds what a node knows of all others: who is alive, leaving
// or gone, and which upstreams stand beside them.
package kqmember
