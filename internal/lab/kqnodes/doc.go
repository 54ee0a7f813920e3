// Package kqnodes runs many real nodes on loopback in one process, over an in-memory
// fake of the platform, and measures how configuration reaches them. It sends no calls
// to upstreams and starts no processes; package kqsoakrun does both.
package kqnodes
