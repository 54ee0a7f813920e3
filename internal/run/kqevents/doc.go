// Package kqevents keeps the few recent events of a process that explain most problems
// of its callers, such as its start, signals, panics, the steps of its shutdown and
// restarts of its peers. It does not write them to the log; its user does.
package kqevents
