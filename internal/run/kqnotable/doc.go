// Package kqnotable remembers the few events of a process that explain most of what
// its callers may complain of: its start, signals, the steps of its leave, peers that
// came back without a goodbye.
package kqnotable
