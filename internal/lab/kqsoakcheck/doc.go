// Package kqsoakcheck checks the calls of a soak run against what callers and upstreams
// recorded about them. It uses neither a clock nor the network; package kqsoakrun feeds
// it. All times are offsets from the start of the run.
package kqsoakcheck
